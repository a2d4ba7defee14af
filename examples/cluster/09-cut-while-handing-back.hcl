# The link heals, the journal is handed over, and the link is cut again.
duration  = "24s"
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
  site  = "north"
  lasts = "7s"
}
trouble {
  kind  = "servers_end"
  at    = "6s"
  site  = "north"
  count = 2
}
trouble {
  kind  = "cut_site"
  at    = "9s"
  when  = "handover"
  site  = "north"
  lasts = "6s"
}
trouble {
  kind  = "servers_end"
  at    = "13s"
  site  = "north"
  count = 1
}
