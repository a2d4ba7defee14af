# What agents of the cluster days share; the laboratory adds the blocks group and capacity.
zones         = ["north", "south", "east"]
report_fields = ["inflight", "util"]
reports_in    = "answers"

agent {
  number = 0
  count  = 2
  zone   = "north"
  listen = "127.0.0.1:8080"
}

class "lobby-read" {
  effect     = "safe"
  aim        = "1.5s"
  deadline   = "6s"
  worth      = 1
  late_worth = "20%"
}

class "queue-join" {
  effect        = "keyed"
  scope         = "zone"
  repeat_window = "5s"
  aim           = "1s"
  deadline      = "2.5s"
  worth         = 2
  late_worth    = "10%"
}

class "race-entry" {
  effect   = "unsafe"
  aim      = "800ms"
  deadline = "2s"
  worth    = 5
}

tenant "first-studio" {
  quota_per_s = 60
  share       = "60%"
}

tenant "second-studio" {
  quota_per_s = 40
  share       = "40%"
}

rules {
  cold           = "4s"
  start_capacity = "40%"
  drain_grace    = "2s"
  fall_multiple  = 3
  fall           = "2s"
}

rollout {
  bake      = "1.5s"
  vote_life = "4s"
  window    = "2s"
  free      = 2
  stage {
    share = "20%"
    cap   = "28%"
  }
  stage {
    share = "60%"
    cap   = "84%"
  }
  stage {
    share = "100%"
    cap   = "100%"
  }
}

feeds {
  fleet = "http://127.0.0.1:9001"
  desk  = "http://127.0.0.1:9002"
}
