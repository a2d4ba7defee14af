# The leader is killed in the middle of a grant, twice.
duration  = "16s"
bound     = 30
allowance = 3
rate      = 20
site "north" {
  agents  = 3
  members = 1
  want    = { a = 4 }
}
site "south" {
  agents  = 3
  members = 2
  want    = { b = 4 }
}
trouble {
  kind  = "kill"
  at    = "0s"
  when  = "claim"
  who   = "leader"
  lasts = "3s"
}
trouble {
  kind  = "kill"
  at    = "5s"
  who   = "owner:south"
  lasts = "3s"
}
trouble {
  kind  = "kill"
  at    = "5s"
  when  = "claim"
  who   = "leader"
  lasts = "4s"
}
