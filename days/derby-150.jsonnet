// A derby night at size: 150 boxes in 15 racks, 20 new sessions a second for five minutes, troubles on. Needs a
// machine of 8 cores to itself. Bytes are scaled to 1%. Not for CI.
local common = import 'common.libsonnet';
common {
  seed: 1,
  lengthMs: 300000,
  tailMs: 5000,
  byteScale: 0.01,
  fronts: 30,
  boxes: {
    count: 150, racks: 15, places: 24, linkKb: 4400, linkSpread: 0.25, uplinkShare: 0.68, uplinkSpread: 0.25,
    setUpMs: 40, coldMs: 8000, coldShare: 0.5,
  },
  classes+: {
    highlight+: { sessionMs: [29000, 60000] },
    'radio-replay'+: { sessionMs: [15000, 43000] },
    'paid-replay'+: { sessionMs: [29000, 60000] },
  },
  titles: { count: 200, zipf: 0.8, copies: [4, 8] },
  arrivals: { perS: 20, shape: 'wave', swing: 0.3, waveMs: 100000 },
  flashes: [{ atMs: 180000, perS: 60, fadeMs: 4000, title: 0 }],
  viewers: { leaves: 0.05, doubles: 0.03, neverReads: 0.002 },
  troubles: [
    common.trouble('neighbour', 30, 40, 0.3),
    common.trouble('crash', 50, 4, 0.05),
    common.trouble('balancer_crash', 70, 4, 0.3),
    common.trouble('deploy', 90, 30, 0.5),
    common.trouble('shared_slow', 110, 30, 0.3),
    common.trouble('answer_lost', 130, 10, 0.2),
    common.trouble('report_late', 150, 10, 0.4),
    common.trouble('zone_cut', 160, 10, 0.3),
    common.trouble('hot_key', 200, 15, 0.5),
    common.trouble('neighbour', 210, 40, 0.4),
    common.trouble('balancer_stall', 230, 2, 0.2),
    common.trouble('vanish', 240, 8, 0.03),
    common.trouble('shared_slow', 255, 30, 0.4),
  ],
}
