# All processes are killed at once and started again, twice.
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
  kind  = "kill_all"
  at    = "4s"
  lasts = "1s"
}
trouble {
  kind  = "kill_all"
  at    = "9s"
  lasts = "500ms"
}
