# A site is cut off and falls in two: one part has a majority, the other stays as it is.
duration  = "20s"
bound     = 30
allowance = 3
rate      = 20
site "north" {
  agents  = 5
  members = 1
  want    = { a = 4 }
}
site "south" {
  agents  = 3
  members = 2
  want    = { b = 3 }
}
trouble {
  kind  = "cut_site"
  at    = "3s"
  site  = "north"
  lasts = "14s"
}
trouble {
  kind  = "split_site"
  at    = "3s"
  site  = "north"
  lasts = "13s"
}
trouble {
  kind  = "servers_end"
  at    = "8s"
  site  = "north"
  count = 2
}
