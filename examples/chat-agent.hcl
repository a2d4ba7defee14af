# An agent with a chat gateway: what players type, and the class of request that it becomes.
zones         = ["north", "south"]
report_fields = ["inflight", "util"]
reports_in    = "answers"

agent {
  count  = 2
  zone   = "north"
  listen = "127.0.0.1:0"
}

class "lobby-read" {
  effect     = "safe"
  aim        = "1.5s"
  deadline   = "4s"
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
  cold           = "3s"
  start_capacity = "40%"
  drain_grace    = "2s"
  fall_multiple  = 3
  fall           = "2s"
}

rollout {
  replacement = "in_place"
  bake        = "1.5s"
  push        = "3s"
  vote_life   = "4s"
  window      = "2s"
  free        = 2
  stage {
    share = "20%"
    cap   = "28%"
  }
  stage {
    share = "100%"
    cap   = "100%"
  }
}

chat {
  listen        = "127.0.0.1:8090"
  key_file      = "chat.key"
  resume_within = "20s"
  command "lobby" {
    class      = "lobby-read"
    target     = "/lobby"
    most_words = 1
  }
  command "join" {
    class       = "queue-join"
    target      = "/queue"
    least_words = 1
    most_words  = 1
    options     = ["car", "with"]
  }
  command "entry" {
    class       = "race-entry"
    target      = "/entry"
    least_words = 1
    most_words  = 2
    options     = ["car"]
  }
}

feeds {
  fleet = "http://127.0.0.1:9001"
  desk  = "http://127.0.0.1:9002"
}
