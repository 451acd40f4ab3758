package fleet

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"marlreel/internal/actionable"
	"marlreel/internal/balancer"
	"marlreel/internal/fleet/agree"
	"marlreel/internal/fleet/disk"
	"marlreel/internal/fleet/peers"
)

// Periods and retry intervals of the fleet's goroutine, in ticks (a hundredth of agree-within).
const (
	publishTicks       = 4
	resendReportTicks  = 5
	foundTicks         = 20 // between two proposals of the first version, while there is none
	retryJoinTicks     = 2
	retryOpenDiskTicks = 4
	retryKeeperTicks   = 40
)

// maxEvents bounds the events that wait for the fleet's goroutine; post blocks beyond it.
const maxEvents = 1024

// Settings are the shared settings that a proxy has to apply.
type Settings struct {
	Sequence     uint64   // of the fleet's state that they come from
	Versions     []uint64 // in force: the newest, and before it the previous one while that is being replaced; empty until the fleet's state is known
	InForce      balancer.Config
	WithoutLease balancer.Config // in force while the lease has expired
}

// Host is the proxy. Its methods are called on any goroutine and must not block.
type Host interface {
	// ApplySettings puts settings in force, and calls done on any goroutine once they are, or with the reason why not.
	ApplySettings(s Settings, done func(error))
	// ExtendLease lets the lease on the settings in force run until a time on Now's clock.
	ExtendLease(until time.Duration)
	// ParseSettings parses a version's text and adds this proxy's own settings.
	ParseSettings(text string) (balancer.Config, error)
	// StateChanged passes on the fleet's state, with the backends that proxies reported as draining or gone. The state
	// must not be modified.
	StateChanged(s *agree.State)
	// ReadyBackends calls done on any goroutine with the membership that this proxy uses, and its ready backends.
	ReadyBackends(done func(membership agree.Lists, ready []string))
}

// Options describe this proxy to its fleet.
type Options struct {
	Config
	Proxy string // its name
	File  string // the text of the shared settings in its file
	// Check returns an error that says why a text can't be the version after others.
	Check func(before []string, text string) error
	Host  Host
	Log   *slog.Logger
}

// Fleet is this proxy's membership of its fleet. Start makes one.
type Fleet struct {
	options Options
	cfg     agree.Config
	key     []byte
	events  chan func()
	stop    chan struct{}
	done    chan struct{}
	closing sync.Once
	status  atomic.Pointer[Status]

	initialWithoutLease balancer.Config

	// The rest belongs to the fleet's goroutine.
	peers        *peers.Peers // nil until this proxy has joined
	disk         *disk.Disk   // nil without a folder, and until it is open
	keeper       *agree.Keeper
	member       *agree.Member
	random       *rand.Rand
	ticks        int
	nextJoin     int // tick of the next attempt
	nextDisk     int
	leaseExpired bool
	logged       map[string]bool // warnings that are not repeated until their cause has passed

	fileText   string
	fileHash   string
	knownTexts []string     // of the versions known to this process, the newest last
	applied    *agree.State // whose settings are in force
	appliedAt  time.Time
	applying   *agree.State // handed to the host, which has not applied it yet

	requests    map[string]*leaderRequest
	lastRequest uint64

	membership  agree.Lists
	reports     []agree.Change // on the membership, that are not in the fleet's state yet
	staleSince  time.Time      // since when the membership has been below the revision floor
	comparisons map[string]*comparison
}

// Start makes this proxy a member of its fleet. Temporary failures (of a port or a disk) are retried and logged once;
// returned errors are permanent: a *peers.KeyError or a *ConfigError.
func Start(options Options) (*Fleet, error) {
	key, err := peers.ReadKey(options.KeyFile)
	if err != nil {
		return nil, err
	}
	if !slices.ContainsFunc(options.Peers, func(p peers.Peer) bool { return p.Name == options.Proxy }) {
		return nil, &ConfigError{"fleet.peers", fmt.Sprintf("lack this proxy's own name, %q", options.Proxy)}
	}
	if slices.Contains(options.Keepers, options.Proxy) && options.Dir == "" {
		return nil, &ConfigError{"fleet.dir", "is missing: a keeper needs a folder that outlives the process"}
	}
	f := newFleet(options, key)
	f.openDisk()
	saved := f.loadState()
	f.member = agree.NewMember(f.cfg, saved)
	if saved != nil {
		f.rememberTexts(saved)
		options.Host.StateChanged(saved)
	}
	f.initialWithoutLease = f.settingsWithoutLease()
	f.publish()
	go f.run()
	return f, nil
}

func newFleet(options Options, key []byte) *Fleet {
	f := &Fleet{
		options: options, key: key,
		events: make(chan func(), maxEvents), stop: make(chan struct{}), done: make(chan struct{}),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), leaseExpired: true, logged: map[string]bool{},
		fileText: options.File, fileHash: agree.Hash(options.File), knownTexts: []string{options.File},
		requests: map[string]*leaderRequest{}, comparisons: map[string]*comparison{},
	}
	f.cfg = agree.Config{
		Name: options.Proxy, Boot: f.random.Uint64()>>11 | 1, Keepers: options.Keepers, // 53 bits, which JSON's numbers hold
		Within: options.AgreeWithin.D(), Seed: f.random.Uint64() >> 11, Check: options.Check,
	}
	return f
}

// Close ends this proxy's membership of the fleet. Its lease is not released but expires.
func (f *Fleet) Close() {
	f.closing.Do(func() { close(f.stop) })
	<-f.done
}

// post hands the fleet's goroutine an event. It is dropped once the fleet is closed.
func (f *Fleet) post(event func()) {
	select {
	case f.events <- event:
	case <-f.done:
	}
}

func (f *Fleet) run() {
	defer close(f.done)
	ticker := time.NewTicker(f.cfg.Tick())
	defer ticker.Stop()
	for {
		select {
		case event := <-f.events:
			event()
		case <-ticker.C:
			f.tick()
		case <-f.stop:
			if f.peers != nil {
				f.peers.Close()
			}
			if f.disk != nil {
				f.disk.Close()
			}
			return
		}
	}
}

func (f *Fleet) tick() {
	f.ticks++
	now := Now()
	f.retryResources()
	if f.keeper != nil {
		f.execute(f.keeper.Tick(now))
	}
	f.proposeFirstVersion(now)
	f.execute(f.member.Tick(now))
	f.retryRequests(now)
	f.resendReports()
	f.noticeLease(now)
	if f.ticks%publishTicks == 0 {
		f.publish()
	}
}

// retryResources retries joining the peers, opening the disk and starting the keeper, as far as that has failed so far.
func (f *Fleet) retryResources() {
	if f.peers == nil && f.ticks >= f.nextJoin {
		f.join()
	}
	if f.disk == nil && f.options.Dir != "" && f.ticks >= f.nextDisk {
		f.openDisk()
	}
	if f.disk != nil && f.keeper == nil && f.ticks >= f.nextDisk {
		f.startKeeper()
	}
}

// noticeLease logs when this proxy gets a lease and when the lease expires.
func (f *Fleet) noticeLease(now time.Duration) {
	expired := !f.member.Valid(now)
	if expired == f.leaseExpired {
		return
	}
	f.leaseExpired = expired
	if expired {
		f.options.Log.Warn("the lease on the fleet's settings has expired: requests that may have run are not retried until a keeper grants a new lease", "event", "fleet-lease-lapsed", "state", f.member.Held())
		return
	}
	f.options.Log.Info("this proxy has a lease on the fleet's settings", "event", "fleet-lease", "state", f.member.Held())
}

func (f *Fleet) warn(event string, err error) {
	var known actionable.Error
	if errors.As(err, &known) {
		f.options.Log.Warn(err.Error(), "event", event, "do", known.Advice())
		return
	}
	f.options.Log.Warn(err.Error(), "event", event)
}

// warnOnce logs a warning that is not repeated until its cause has passed. The key is the event; text after a space
// distinguishes causes.
func (f *Fleet) warnOnce(key string, err error) {
	if !f.logged[key] {
		f.logged[key] = true
		f.warn(key, err)
	}
}
