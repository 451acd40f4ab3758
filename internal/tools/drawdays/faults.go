package main

// variant is one variant of a kind of fault, with the parameters that the bench expects.
type variant struct {
	Kind string
	How  string
	// Further parameters of an entry of this kind; zero values are omitted.
	Duration float64 // seconds
	Count    int
	Share    float64
	Gap      float64 // seconds
	Strength float64
	On       string // the class of machines that the fault affects
	Planned  bool   // it is a planned operation, not a fault
	Last     bool   // its damage lasts for the rest of the day, so it may occur only once
}

// subjects returns all variants of the control-plane and connection faults.
func subjects() []variant {
	var all []variant
	add := func(base variant, hows ...string) {
		for _, how := range hows {
			base.How = how
			all = append(all, base)
		}
	}
	add(variant{Kind: "core_cut", Count: 1, Duration: 4.5},
		"", "leader race drain hard", "behind", "split", "all", "near", "oldest", "leader one_way", "seeds", "both", "lure", "relieve", "leader meet reset")
	add(variant{Kind: "replace_core", Strength: 1.5, Last: true}, "", "planned", "oldest")
	add(variant{Kind: "seed_turnover", Planned: true}, "")
	add(variant{Kind: "after_ack_kill", Count: 1, Duration: 3}, "", "kill", "timed", "taken", "taken gone")
	add(variant{Kind: "after_ack_wipe", Duration: 2}, "", "timed", "oldest")
	add(variant{Kind: "herd_kill", On: "core", Duration: 1}, "", "off", "off taken", "taken all")
	add(variant{Kind: "ack_lost", Duration: 10, Strength: 0.7}, "")
	add(variant{Kind: "config_race", Count: 4, Gap: 0.8, Planned: true}, "")
	add(variant{Kind: "config_storm", Duration: 6, Gap: 0.4, Planned: true}, "", "idle")
	add(variant{Kind: "disk_full", Count: 1, Duration: 5}, "")
	add(variant{Kind: "disk_slow", Count: 1, Duration: 5, Strength: 30}, "")
	add(variant{Kind: "disk_stall", Count: 1, Duration: 4.5}, "")
	add(variant{Kind: "clock_step", Duration: 5, Share: 0.5, Strength: 4000}, "", "back", "ahead", "leader")
	add(variant{Kind: "garble", Duration: 6, Share: 0.5, Strength: 0.05}, "", "extra", "unframed", "early", "rot")
	add(variant{Kind: "idle_race", Duration: 8, Share: 0.6, Strength: 300}, "")
	add(variant{Kind: "reset_conns", Share: 0.3, Strength: 0.6}, "")
	add(variant{Kind: "answer_lost", Duration: 6, Share: 0.6, Strength: 0.05}, "")
	return all
}

// closing is the fault at the end of a day, injected right after a last change was acknowledged.
type closing struct {
	Kind     string  `toml:"kind"`
	Downtime float64 `toml:"down_s"`
	How      string  `toml:"how,omitempty"`
}

func closings() []closing {
	return []closing{
		{"power_off_all", 1, ""},
		{"wipe_after_ack", 1, ""},
		{"wipe_after_ack", 1.2, "timed"},
		{"wipe_after_ack", 0.8, "oldest"},
		{"wipe_after_ack", 1, "taken"},
		{"kill_all", 0.9, ""},
	}
}
