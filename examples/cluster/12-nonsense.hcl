# While a site is cut off, somebody with an agent's number tells run times that cannot be.
duration  = "18s"
bound     = 30
allowance = 3
rate      = 20
site "north" {
  agents  = 3
  members = 1
  want    = { a = 3 }
}
site "south" {
  agents  = 3
  members = 1
  want    = { b = 3 }
}
site "east" {
  agents  = 3
  members = 1
  want    = { a = 2 }
}
trouble {
  kind  = "cut_site"
  at    = "3s"
  site  = "east"
  lasts = "9s"
}
trouble {
  kind  = "nonsense"
  at    = "4s"
  who   = "8"
  lasts = "8s"
}
trouble {
  kind  = "servers_end"
  at    = "7s"
  site  = "east"
  count = 1
}
