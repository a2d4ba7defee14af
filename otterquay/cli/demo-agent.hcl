# The settings that `otterquay demo` runs its agents with.
zones         = ["north", "south"]
report_fields = ["inflight", "util"]
reports_in    = "answers"

agent {
  count  = 2
  zone   = "north"
  listen = "127.0.0.1:0"
}

class "read" {
  effect     = "safe"
  aim        = "800ms"
  deadline   = "3s"
  worth      = 1
  late_worth = "20%"
}

class "join" {
  effect        = "keyed"
  scope         = "zone"
  repeat_window = "3s"
  aim           = "800ms"
  deadline      = "2s"
  worth         = 2
  late_worth    = "10%"
}

class "buy" {
  effect   = "unsafe"
  aim      = "800ms"
  deadline = "2s"
  worth    = 5
}

limits {
  peers = true
}

rules {
  cold           = "2s"
  start_capacity = "40%"
  drain_grace    = "1s"
  fall_multiple  = 3
  fall           = "2s"
}

rollout {
  bake      = "1s"
  push      = "2s"
  vote_life = "2s"
  window    = "2s"
  free      = 2
  stage {
    share = "25%"
    cap   = "35%"
  }
  stage {
    share = "100%"
    cap   = "100%"
  }
}

peers {
  key_file = "peer.key"
  address  = { "0" = "127.0.0.1:9100", "1" = "127.0.0.1:9101" }
}

feeds {
  fleet = "http://127.0.0.1:9001"
  desk  = "http://127.0.0.1:9002"
}
