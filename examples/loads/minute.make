# One minute at a mean of 55 txns per second, with one period of the curve and a burst of costly quotes.
for_s: 60
txns_per_s: 55
curve { depth: 0.15 period_s: 60 }
burst { at_s: 25 for_s: 8 product: "fare-quote" costly_share: 0.03 costly_from: 7 costly_to: 20 }
