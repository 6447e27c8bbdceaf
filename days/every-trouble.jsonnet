// All fifteen sorts of trouble in 75 s: 12 boxes, 3 fronts. A longer run; not for CI.
local common = import 'common.libsonnet';
common {
  seed: 1,
  lengthMs: 75000,
  tailMs: 5000,
  byteScale: 0.05,
  fronts: 3,
  boxes: {
    count: 12, racks: 3, places: 24, linkKb: 6600, linkSpread: 0.2, uplinkShare: 0.68, uplinkSpread: 0.2,
    setUpMs: 40, coldMs: 6000, coldShare: 0.5,
  },
  titles: { count: 20, zipf: 0.8, copies: [3, 5] },
  arrivals: { perS: 6, shape: 'wave', swing: 0.4, waveMs: 30000 },
  viewers: { leaves: 0.1, doubles: 0.05 },
  troubles: [
    common.trouble('slow', 4, 6, 0.25),
    common.trouble('crash', 8, 4, 0.2),
    common.trouble('answer_lost', 13, 8, 0.4),
    common.trouble('balancer_crash', 18, 3, 0.4),
    common.trouble('neighbour', 20, 6, 0.4),
    common.trouble('report_late', 23, 8, 0.5),
    common.trouble('vanish', 27, 7, 0.17),
    common.trouble('hot_key', 30, 6, 0.6),
    common.trouble('deploy', 35, 12, 0.7),
    common.trouble('balancer_stall', 40, 1.5, 0.4),
    common.trouble('zone_cut', 48, 5, 0.3),
    common.trouble('shared_slow', 54, 6, 0.4),
    common.trouble('burst', 58, 5, 1),
    common.trouble('preempt', 62, 5, 0.2),
    common.trouble('ageing', 64, 8, 0.2),
  ],
}
