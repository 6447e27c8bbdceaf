// A rough day of many fronts, as large ones of the bench are: 110 fronts and 140 boxes for 50 s, answers lost, boxes
// replaced, fronts that stand. Textbook rules do better on it than the module. For 'emulate' only.
local common = import 'common.libsonnet';
common {
  seed: 1,
  lengthMs: 50000,
  tailMs: 2000,
  byteScale: 0.01,
  fronts: 110,
  boxes: {
    count: 140, racks: 14, places: 24, linkKb: 3300, linkSpread: 0.25, uplinkShare: 0.68, uplinkSpread: 0.25,
    setUpMs: 80, coldMs: 8000, coldShare: 0.5,
  },
  classes+: {
    highlight+: { sessionMs: [15000, 40000] },
    'radio-replay'+: { sessionMs: [10000, 30000] },
    'paid-replay'+: { sessionMs: [15000, 40000] },
  },
  titles: { count: 200, zipf: 0.5, copies: [5, 9] },
  arrivals: { perS: 22, shape: 'wave', swing: 0.4, waveMs: 25000 },
  troubles: [
    common.trouble('answer_lost', 10, 15, 0.3),
    common.trouble('deploy', 20, 20, 0.5),
    common.trouble('balancer_stall', 30, 1, 0.4),
  ],
}
