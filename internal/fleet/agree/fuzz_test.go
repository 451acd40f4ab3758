package agree

import "testing"

// No message makes a keeper or a member panic, whatever its bytes and its sender.
func FuzzReceive(f *testing.F) {
	f.Add([]byte(`{"f":1,"renew":{"n":1,"boot":3}}`), byte(0))
	f.Add([]byte(`{"f":1,"grant":{"n":1,"boot":9,"seq":7,"state":{"born":1,"seq":7,"versions":[{"number":2}]}}}`), byte(1))
	f.Add([]byte(`{"f":1,"raft":"CAMQAQ=="}`), byte(1))
	f.Add([]byte(`{"f":1,"hello":{"id":3,"life":0,"empty":true}}`), byte(2))
	f.Add([]byte(`{"f":1,"propose":{"kind":"told","source":"x","ends":[{"source":"x","name":"y","revision":9}]}}`), byte(2))
	f.Add([]byte(`{"f":1,"seat":{"id":"a","name":"n9","add":true}}`), byte(0))
	f.Fuzz(func(t *testing.T, data []byte, who byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		s := newSim(4, 3, 3)
		s.run(within)
		p := s.procs[int(who)%3]
		for range 2 {
			p.carry(p.keeper.Receive(p.clock(), "n1", m))
			p.carry(p.member.Receive(p.clock(), "n1", m))
			s.run(s.now + within/10)
		}
	})
}
