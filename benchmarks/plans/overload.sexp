; Three classes as the example's configuration has them; asked for at several times what the bricks do.
(load 1)
(run (seed 11) (for 14 s) (settle 3 s) (bricks 4) (slots 2) (work 30 ms) (queue 64 requests))
(client records (class record-read) (plan priority) (rate 55 requests/s) (volumes 8)
  (remaining 750 ms) (aim 120 ms) (worth 2) (retries 1) (pause 200 ms))
(client transfers (class transfer-write) (plan priority) (rate 30 requests/s) (volumes 8) (way write)
  (units 2 units) (remaining 1200 ms) (aim 200 ms) (worth 3) (retries 1) (pause 200 ms))
(client exports (class statement-export) (plan basic) (rate 15 requests/s) (volumes 8)
  (units 3 units) (remaining 3 s) (aim 1 s) (worth 1))
