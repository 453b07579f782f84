-- A node counts failed calls in its metrics by result code, and the burn report
-- of the service-level objectives lists them.
start_log()
start_node("a1", "a")
start_server("server-a1",
             {service = "price-catalogue", beside = "a1", work = "1ms"})
local code, text = zinniactl("publish", "Data/Ashcombe/set")
expect(code == 0, text)
within(10, function()
  return status("a1").version > 0 and status("a1").servers["server-a1"]
end, "the set is in force")
start_load("good", {to = {"a1"}, path = "/prices/x", rate = 100,
                    length = "1s"})
-- No backend server of this service is live.
start_load("bad", {to = {"a1"}, path = "/slabs/x", rate = 50, length = "1s"})
-- A payout without an idempotency key is refused before a backend server is
-- chosen.
start_load("keyless", {to = {"a1"}, path = "/payouts/x", method = "POST",
                       rate = 20, length = "1s"})
within(15, function()
  return ended("good") and ended("bad") and ended("keyless")
end, "the calls have ended")
within(5, function()
  local code, text = burn({prices = "price-catalogue",
                           slabs = "slab-valuation", payouts = "payouts"})
  return code == 0 and text:find("prices: ok", 1, true) and
         text:find("slabs: FAST BURN", 1, true) and
         text:find("burned by 101 NoLiveServer, data centre -, " ..
                   "backend server -: 50", 1, true) and
         text:find("burned by 112 KeyMissing, data centre -, " ..
                   "backend server -: 20", 1, true)
end, "the report lists the objectives that burn and the causes")
