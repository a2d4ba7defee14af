# The owner of a site's servers is stopped while its order is on the way to the yard; the order arrives after the
# next owner has acted, and is refused.
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
  kind  = "late_yard"
  at    = "3s"
  when  = "order"
  late  = "6s"
  lasts = "9s"
}
trouble {
  kind  = "stop"
  at    = "3s"
  when  = "order"
  after = "300ms"
  lasts = "7s"
}
trouble {
  kind  = "servers_end"
  at    = "3200ms"
  site  = "south"
  count = 2
}
