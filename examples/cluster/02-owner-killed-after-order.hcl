# An owner is killed when the yard has done its order and before that is in the books; the next one finds the order.
duration  = "14s"
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
  at    = "3s"
  when  = "yard_order"
  lasts = "5s"
}
trouble {
  kind  = "servers_end"
  at    = "7s"
  site  = "north"
  count = 2
}
trouble {
  kind  = "kill"
  at    = "7s"
  when  = "yard_order"
  lasts = "4s"
}
