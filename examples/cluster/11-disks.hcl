# A member comes back with an empty disk and is refused; of five another one with an old copy; a third's disk is full.
duration  = "22s"
bound     = 30
allowance = 3
rate      = 20
site "north" {
  agents  = 3
  members = 2
  want    = { a = 3 }
}
site "south" {
  agents  = 4
  members = 3
  want    = { b = 3 }
}
trouble {
  kind  = "empty_disk"
  at    = "3s"
  who   = "0"
  lasts = "1s"
}
trouble {
  kind  = "old_disk"
  at    = "5s"
  who   = "3"
  lasts = "5s"
}
trouble {
  kind  = "full_disk"
  at    = "14s"
  who   = "6"
  lasts = "4s"
}
