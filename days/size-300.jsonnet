// At a size that sockets don't reach: 250 boxes in 25 racks, 300 fronts, 100 new sessions a second for ten minutes,
// troubles on. For 'emulate' only.
local common = import 'common.libsonnet';
common {
  seed: 1,
  lengthMs: 600000,
  tailMs: 10000,
  byteScale: 0.01,
  fronts: 300,
  boxes: {
    count: 250, racks: 25, places: 40, linkKb: 13000, linkSpread: 0.25, uplinkShare: 0.68, uplinkSpread: 0.25,
    setUpMs: 40, coldMs: 8000, coldShare: 0.5,
  },
  classes+: {
    highlight+: { sessionMs: [29000, 60000] },
    'radio-replay'+: { sessionMs: [15000, 43000] },
    'paid-replay'+: { sessionMs: [29000, 60000] },
  },
  titles: { count: 400, zipf: 0.8, copies: [4, 8] },
  arrivals: { perS: 100, shape: 'wave', swing: 0.3, waveMs: 150000 },
  flashes: [{ atMs: 300000, perS: 200, fadeMs: 5000, title: 0 }],
  viewers: { leaves: 0.05, doubles: 0.03, neverReads: 0.002 },
  troubles: [
    common.trouble('neighbour', 40, 60, 0.3),
    common.trouble('crash', 110, 4, 0.05),
    common.trouble('balancer_crash', 130, 4, 0.3),
    common.trouble('deploy', 160, 60, 0.5),
    common.trouble('shared_slow', 230, 40, 0.3),
    common.trouble('answer_lost', 275, 10, 0.2),
    common.trouble('report_late', 310, 20, 0.4),
    common.trouble('zone_cut', 340, 10, 0.3),
    common.trouble('hot_key', 370, 20, 0.5),
    common.trouble('balancer_stall', 400, 2, 0.2),
    common.trouble('vanish', 420, 8, 0.03),
    common.trouble('balancer_crash', 450, 4, 0.5),
    common.trouble('shared_slow', 500, 60, 0.4),
  ],
}
