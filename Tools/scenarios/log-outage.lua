-- The platform's log is down for a while. Nodes keep the set that is in force
-- and serve calls. A publish during the outage fails without any effect, and
-- the next one after it succeeds.
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
end, "the set is in force and a1 lists the backend servers")

start_load("calls", {to = {"a1", "b1"}, path = "/prices/x", rate = 100,
                     length = "3s"})
log_faults("outage = yes")
code, text = zinniactl("publish", "Data/Contadores/set")
expect(code == 1, "no set is accepted during the outage")
expect(text:find("600 LogUnavailable", 1, true),
       "the result code names the reason: " .. text)
within(15, function() return ended("calls") end, "the calls have ended")
local calls = report("calls")
expect(calls.served == 300, "all calls are served: " .. calls.served)
expect(calls.doubled == 0, "no call ran twice")

log_faults("outage = no")
-- The response to the next append is lost. The publisher finds its record in
-- the log.
log_faults("lose-answers = 1")
code, text = zinniactl("publish", "Data/Contadores/set")
expect(code == 0, "the set is accepted after the outage: " .. text)
local later = tonumber(text:match("version (%d+)"))
within(7, function()
  return status("a1").version == later and status("b1").version == later
end, "the second set is in force")
