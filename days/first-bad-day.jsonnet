// A bad day in under a minute: 12 boxes, 3 fronts, six kinds of trouble. Sessions are shorter than on a true day.
local common = import 'common.libsonnet';
common {
  seed: 1,
  lengthMs: 36000,
  tailMs: 4000,
  byteScale: 0.05,
  fronts: 3,
  boxes: {
    count: 12, racks: 3, places: 24, linkKb: 6600, linkSpread: 0.2, uplinkShare: 0.68, uplinkSpread: 0.2,
    setUpMs: 40, coldMs: 6000, coldShare: 0.5,
  },
  titles: { count: 20, zipf: 0.8, copies: [3, 5] },
  arrivals: { perS: 6, shape: 'wave', swing: 0.4, waveMs: 30000 },
  troubles: [
    common.trouble('crash', 5, 3, 0.15),
    common.trouble('answer_lost', 9, 5, 0.25),
    common.trouble('balancer_crash', 13, 3, 0.3),
    common.trouble('hot_key', 15, 6, 0.5),
    common.trouble('neighbour', 17, 6, 0.3),
    common.trouble('deploy', 20, 8, 0.5),
    common.trouble('zone_cut', 25, 3, 0.3),
    common.trouble('balancer_stall', 30, 1, 0.3),
  ],
}
