; How much may be out of service on purpose, one outage and one release; `hophinge check examples/maintenance.sexp`
; reads it. The control service keeps these forms to itself: heads of any build take the version beside them.
(hophinge 1)

(pool hall-a (zones hall-a) (at-least 2 bricks))
(pool hall-b (zones hall-b) (at-least 2 bricks))
(tenant alba (volumes 00000003b4d60021) (reserve 40 units/s))
(route (pools hall-a hall-b))

; At most three heads and a tenth of them, one in a zone; two bricks, one in a zone, and never so many that the rest of a
; pool does less than its reserves need at 25 units a second each. A brick's place is free once three heads have had
; warm answers of it. (retired n7) says that a head is gone for good, (free 4.17) that a permit's place is free.
(maintenance
  (heads (most 3) (most-part 10%) (zone-most 1))
  (bricks (most 2) (zone-most 1))
  (capacity 25 units/s)
  (served 3 heads))

; Out for as long as the form stands: `hophinge control status` tells when both are drained, and whose word is missing.
(outage hall-a-disks (bricks b-0017 b-0018))

; One head alone, then a tenth, then all; it halts by itself where its heads refuse or fail 2 % more than the others.
; (word halt) stops it, (word back) takes its heads back to the builds they had, (again 1) lets a halted one go on.
(release spring (build 2.4.1) (waves 10% 50% 100%) (settle 30 s) (patience 5 min) (refused 2%) (word go))
