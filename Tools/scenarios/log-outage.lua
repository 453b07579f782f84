-- The platform's log is down for a while. Nodes go on serving what they have,
-- a publish fails without harm, and after the outage the next one works.
start_log()
for _, name in ipairs {"a1", "b1"} do
  start_node(name, name:sub(1, 1))
  start_server("server-" .. name,
               {service = "price-catalogue", beside = name, work = "2ms"})
end
local code, text = zinniactl("publish", "Data/Ashcombe/set")
expect(code == 0, "the set is accepted: " .. text)
local version = tonumber(text:match("version (%d+)"))
within(10, function()
  local known = status("a1").servers
  return status("a1").version == version and
         status("b1").version == version and known["server-a1"] and
         known["server-b1"]
end, "the set is in force and the servers are known")

start_load("calls", {to = {"a1", "b1"}, path = "/prices/x", rate = 100,
                     length = "3s"})
log_faults("outage = yes")
code, text = zinniactl("publish", "Data/Contadores/set")
expect(code == 1, "no set is accepted during the outage")
expect(text:find("600 LogUnavailable", 1, true), "the reason is given: " .. text)
within(15, function() return ended("calls") end, "the calls have ended")
local calls = report("calls")
expect(calls.served == 300, "all are served: " .. calls.served)
expect(calls.doubled == 0, "none ran twice")

log_faults("outage = no")
-- The answer to this append is lost; the publisher finds its record.
log_faults("lose-answers = 1")
code, text = zinniactl("publish", "Data/Contadores/set")
expect(code == 0, "the set is accepted after the outage: " .. text)
local later = tonumber(text:match("version (%d+)"))
within(7, function()
  return status("a1").version == later and status("b1").version == later
end, "it is in force")
