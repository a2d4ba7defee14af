# The day that `otterquay demo` plays.
service  = "demo-agent.hcl"
duration = "30s"

fleet {
  machines = 8
  list_lag = "300ms"
}

agents {
  zones   = ["north", "south"]
  weights = [2, 1]
}

traffic {
  rate = 120
  class "read" {
    share      = "50%"
    work_least = "15ms"
    work_most  = "35ms"
  }
  class "join" {
    share      = "30%"
    work_least = "10ms"
    work_most  = "25ms"
  }
  class "buy" {
    share      = "20%"
    work_least = "10ms"
    work_most  = "25ms"
  }
}

build "2" {
  at       = "4s"
  flaw     = "class"
  of_class = "join"
  share    = "70%"
}

build "3" {
  at = "14s"
}
