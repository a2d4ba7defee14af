# All agents restarted one after the other by SIGTERM, each handing its duties and posts over; then seven in ten are
# killed at one moment, with the leader's group cut from one of its sites as they come back.
duration  = "44s"
bound     = 40
allowance = 2
rate      = 20
owes      = "6s"
site "north" {
  agents  = 3
  members = 1
  want    = { a = 2, b = 2 }
}
site "south" {
  agents  = 3
  members = 1
  want    = { a = 2, c = 2 }
}
site "east" {
  agents  = 3
  members = 1
  want    = { b = 2, c = 2 }
}
trouble {
  kind  = "roll"
  at    = "4s"
  after = "200ms"
}
trouble {
  kind  = "kill_most"
  at    = "28s"
  lasts = "3s"
}
trouble {
  kind  = "cut_site"
  at    = "32s"
  site  = "east"
  lasts = "5s"
}
