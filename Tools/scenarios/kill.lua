-- A VM is lost, with its node and its backend server, while idempotent calls
-- run. Every call is served in the end, by a live backend server.
start_log()
for _, name in ipairs {"a1", "a2", "a3"} do
  start_node(name, "a")
  start_server("server-" .. name,
               {service = "price-catalogue", beside = name, work = "5ms"})
end
within(10, function()
  local known = status("a1").servers
  return known["server-a1"] and known["server-a2"] and known["server-a3"]
end, "a1 lists every backend server")
local code = zinniactl("publish", "Data/Ashcombe/set")
expect(code == 0, "the set is accepted")
within(7, function()
  return status("a1").version > 0 and status("a2").version > 0
end, "the set is in force")

start_load("calls", {to = {"a1", "a2"}, path = "/prices/x", rate = 200,
                     length = "4s"})
within(3, function() return status("a1").answered end, "a1 answers")
kill("a3")
kill("server-a3")
within(5, function()
  return not status("a1").servers["server-a3"]
end, "a1 no longer lists the killed backend server")
within(15, function() return ended("calls") end, "the calls have ended")
local calls = report("calls")
expect(calls.sent == 800, "800 calls were sent")
expect(calls.served == calls.sent,
       "all calls are served: " .. calls.served .. " of " .. calls.sent)
expect(calls.wrong == 0, "each caller got its own response")
