"""The functions of troubles by the name of the kind."""

from __future__ import annotations

from otterquay.lab.cluster.faults import disks, false_reports, links, processes, yard

KINDS = {
    "stop": processes.stop,
    "kill": processes.kill,
    "kill_all": processes.kill_all,
    "lose_majority": processes.lose_majority,
    "cut_site": links.cut_site,
    "split_site": links.split_site,
    "cut_agent": links.cut_agent,
    "one_way": links.one_way,
    "flap": links.flap,
    "links": links.lossy,
    "yard": yard.unreliable,
    "late_yard": yard.late,
    "servers_end": yard.servers_end,
    "empty_disk": disks.empty,
    "old_disk": disks.old,
    "full_disk": disks.full,
    "nonsense": false_reports.nonsense,
    "gray": yard.gray,
    "roll": processes.roll,
    "kill_most": processes.kill_most,
}
