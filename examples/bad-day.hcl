# A bad day in under a minute: a bad build, then a good one, while a burst, a cut between zones, a drain under
# load, a killed agent and a desk that loses answers come on top. `otterquay lab play examples/bad-day.hcl`
service  = "bad-day-agent.hcl"
duration = "42s"

fleet {
  machines    = 9
  cores       = 2
  speed_least = 0.8
  speed_most  = 1.1
  queue       = 24
  handshake   = "2ms"
  list_lag    = "500ms"
  desk_lag    = "300ms"
}

agents {
  zones   = ["north", "south", "north"]
  weights = [3, 2, 1]
}

traffic {
  rate    = 110
  retries = 2
  class "lobby-read" {
    share      = "40%"
    work_least = "30ms"
    work_most  = "60ms"
  }
  class "queue-join" {
    share      = "35%"
    work_least = "20ms"
    work_most  = "40ms"
  }
  class "race-entry" {
    share      = "25%"
    work_least = "20ms"
    work_most  = "40ms"
  }
}

build "2" {
  at       = "3s"
  flaw     = "class"
  of_class = "race-entry"
  share    = "60%"
}

build "3" {
  at = "16s"
}

fault {
  kind   = "burst"
  at     = "8s"
  lasts  = "3s"
  factor = 2.2
}

fault {
  kind  = "zone_cut"
  at    = "12s"
  lasts = "3s"
  zones = ["north", "south"]
}

fault {
  kind  = "kill_agent"
  at    = "20s"
  lasts = "1s"
  agent = 0
}

fault {
  kind  = "drain"
  at    = "24s"
  count = 2
}

fault {
  kind  = "kill_servers"
  at    = "27s"
  lasts = "2s"
  count = 1
}

fault {
  kind  = "lose_vote_answers"
  at    = "17s"
  lasts = "3s"
}

fault {
  kind  = "fail_servers"
  at    = "33s"
  lasts = "4s"
  count = 1
  share = "70%"
}

fault {
  kind  = "pause_agent"
  at    = "30s"
  lasts = "1500ms"
  agent = 1
}

fault {
  kind = "drop_feeds"
  at   = "31s"
}

fault {
  kind  = "repeat_feeds"
  at    = "5s"
  lasts = "20s"
}
