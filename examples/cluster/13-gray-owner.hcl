# An owner that renews and cannot reach the yard, then an agent that holds posts and cannot; servers end meanwhile, and
# what others see of the yard relieves them.
duration  = "34s"
bound     = 30
allowance = 3
rate      = 20
owes      = "4s"
site "north" {
  agents  = 4
  members = 1
  want    = { a = 4, b = 2 }
}
site "south" {
  agents  = 4
  members = 2
  want    = { a = 2, b = 4, c = 2 }
}
trouble {
  kind  = "gray"
  at    = "6s"
  who   = "owner:south"
  lasts = "24s"
}
trouble {
  kind  = "servers_end"
  at    = "7s"
  site  = "south"
  count = 2
}
trouble {
  kind  = "gray"
  at    = "16s"
  who   = "1"
  lasts = "12s"
}
trouble {
  kind  = "servers_end"
  at    = "17s"
  site  = "north"
  count = 1
}
