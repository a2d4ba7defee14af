# A site is cut off for long; its coordinator is killed in the middle of an act, and so is the next one; the link
# heals while the third is elected.
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
  kind  = "cut_site"
  at    = "3s"
  site  = "north"
  lasts = "19s"
}
trouble {
  kind  = "servers_end"
  at    = "8s"
  site  = "north"
  count = 2
}
trouble {
  kind  = "kill"
  at    = "8s"
  when  = "lead"
  who   = "coordinator:north"
  lasts = "5s"
}
trouble {
  kind  = "servers_end"
  at    = "14s"
  site  = "north"
  count = 1
}
trouble {
  kind  = "kill"
  at    = "15s"
  who   = "coordinator:north"
  lasts = "4s"
}
trouble {
  kind  = "kill"
  at    = "20500ms"
  who   = "coordinator:north"
  lasts = "2s"
}
