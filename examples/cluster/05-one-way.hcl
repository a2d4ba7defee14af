# The owner hears all and is heard by none; then the leader; then the other way round.
duration  = "20s"
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
  kind  = "one_way"
  at    = "3s"
  who   = "owner:south"
  lasts = "5s"
}
trouble {
  kind  = "one_way"
  at    = "9s"
  who   = "leader"
  lasts = "4s"
}
trouble {
  kind   = "one_way"
  at     = "14s"
  who    = "leader"
  inward = true
  lasts  = "4s"
}
