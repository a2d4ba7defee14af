# Most members are killed, and come back.
duration  = "18s"
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
  kind  = "lose_majority"
  at    = "3s"
  lasts = "8s"
}
trouble {
  kind  = "servers_end"
  at    = "5s"
  site  = "south"
  count = 2
}
