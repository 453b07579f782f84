-- A VM is frozen for some seconds while calls run, and then thawed. Every
-- caller gets its own response, no node exits, and the backend server of the
-- thawed VM is listed again. Guards against a crash of a node that cancelled
-- HTTP transfers which were still connecting.
start_log()
for _, name in ipairs {"a1", "a2", "a3"} do
  start_node(name, "a")
  start_server("server-" .. name,
               {service = "price-catalogue", beside = name, work = "5ms"})
end
local function all_listed()
  for _, name in ipairs {"a1", "a2", "a3"} do
    local known = status(name).servers
    for _, server in ipairs {"server-a1", "server-a2", "server-a3"} do
      if not known[server] then return false end
    end
  end
  return true
end
within(10, all_listed, "every node lists every backend server")
local code, text = zinniactl("publish", "Data/Ashcombe/set")
expect(code == 0, text)
within(7, function()
  return status("a1").version > 0 and status("a2").version > 0 and
         status("a3").version > 0
end, "the set is in force")

start_load("calls", {to = {"a1", "a2"}, path = "/prices/x", rate = 200,
                     length = "8s"})
freeze("a3")
freeze("server-a3")
within(5, function() return not status("a1").servers["server-a3"] end,
       "a1 no longer lists the frozen backend server")
thaw("a3")
thaw("server-a3")
within(10, all_listed, "every node lists the thawed backend server again")
within(20, function() return ended("calls") end, "the calls have ended")
local calls = report("calls")
expect(calls.sent == 1600, "1600 calls were sent")
expect(calls.unanswered == 0, "every caller got a response")
expect(calls.wrong == 0, "each caller got its own response")
for _, name in ipairs {"a1", "a2", "a3"} do
  expect(not ended(name), name .. " is still running")
end
say("served " .. calls.served .. " of " .. calls.sent)
