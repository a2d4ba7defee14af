# A site's upstream comes and goes.
duration  = "26s"
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
  kind  = "flap"
  at    = "3s"
  site  = "south"
  lasts = "5s"
  times = 5
}
trouble {
  kind  = "servers_end"
  at    = "6s"
  site  = "south"
  count = 1
}
