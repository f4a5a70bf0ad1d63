; What a control service streams to its heads; `hophinge check examples/service.sexp` reads it.
; Every quantity carries its unit. A scope that leaves out tenant, volume or class is for any.
(hophinge 1)

; Only lower than what the platform states for a plan of that name.
(plan basic (reserve 2 units/s) (weight 1))

; Bricks by zone, by machine kind or by name. With fewer live ones than at-least, those of a route's next pool join;
; with more open requests for each live brick than open, new ones spill over to it.
(pool hall-a (zones hall-a) (at-least 2 bricks) (open 24 requests))
(pool hall-b (zones hall-b) (at-least 2 bricks))
(pool anywhere (zones hall-a hall-b hall-c))

; Whose volumes these are on the platform's front; buckets of the object API know their tenant. A reserve is over all
; heads and passes at once; what is spare is shared by weight.
(tenant alba (volumes 00000003b4d60021 00000003b4d60022) (reserve 40 units/s) (weight 2))

; What no reserve takes waits its turn at the head, while so many units are at its bricks; as many as the bricks do at
; once, less a few that are left to reserves. With leases, shares of reserves follow demand between heads.
(spare (depth 4 units) (wait 50 ms) (queue 256 requests) (leases off))

(route (tenant alba) (class transfer-write) (pools hall-a hall-b))
(route (tenant alba) (pools hall-a anywhere) (else any))
(route (class statement-export) (pools anywhere))

; At each head: units a second with what may be saved up, and requests without their answer.
(limit (tenant alba) (rate 120 units/s) (burst 2 s) (open 64 requests))
(limit (class statement-export) (open 32 requests))

; Further attempts as a share of first ones; a second copy goes where the platform allows it.
(retries (class record-read) (attempts 2) (budget 20 %) (second-copy 80 ms))
(retries (attempts 3) (budget 30 %) (free 2 requests))

; A brick that fails half of what it got in two seconds rests, but never more than 30 % of them.
(eject (errors 50 %) (over 2 s) (rest 1 s) (at-most 30 %))

; How the control service hands a version out.
(rollout (first n0) (waves 10 % 50 % 100 %) (hold 2 s) (failures 5 %) (on-trouble rollback))
