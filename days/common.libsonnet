// What the days share: the classes, ladder and rules of a replay platform with paid sessions.
{
  zones: ['north-hall', 'east-hall', 'south-hall'],
  classes: {
    highlight: {
      share: 0.45, sessionMs: [8000, 20000], aimMs: 1000, patienceMs: 3000, worth: 1,
    },
    'radio-replay': {
      share: 0.3, sessionMs: [6000, 15000], aimMs: 800, patienceMs: 3000, worth: 1,
    },
    'paid-replay': {
      share: 0.25, sessionMs: [8000, 20000], aimMs: 1500, patienceMs: 3000, worth: 3, once: true, floor: 1,
      scale: 1.2,
    },
  },
  ladder: { kb: [230, 390, 660, 1100, 1850], worth: [0.22, 0.45, 0.65, 0.85, 1] },
  notes: { lateMs: 800, tellMs: 3000, stall: 6, changeCostMs: 600 },
  rules: { maxAttempts: 5, maxRetryAfterMs: 2000, crossZonePrice: 0.04, drainGraceMs: 250, fallMultiple: 2, fallMs: 1500,
    // Further attempts: three and a fifth of the requests, in any ten seconds.
    spareAttempts: 3, attemptShare: 0.2, attemptWindowMs: 10000 },
  trouble(kind, at, lasts, part):: { kind: kind, atMs: at * 1000, forMs: lasts * 1000, part: part },
}
