-- All nodes of a data centre are killed and restarted at the same time. They
-- get the version in force and the list of backend servers again, while calls
-- through the other data centre are served.
start_log()
local nodes = {"a1", "a2", "a3", "a4"}
for _, name in ipairs(nodes) do start_node(name, "a") end
start_node("b1", "b")
start_server("server-b1",
             {service = "price-catalogue", beside = "b1", work = "2ms"})
local code, text = zinniactl("publish", "Data/Ashcombe/set")
expect(code == 0, text)
local version = tonumber(text:match("version (%d+)"))
within(10, function()
  return status("b1").version == version and status("b1").servers["server-b1"]
end, "the set is in force")
start_load("calls", {to = {"b1"}, path = "/prices/x", rate = 100,
                     length = "4s"})
for _, name in ipairs(nodes) do kill(name) end
for _, name in ipairs(nodes) do
  within(5, function() return ended(name) end, name .. " has ended")
end
for _, name in ipairs(nodes) do restart_node(name) end
within(10, function()
  for _, name in ipairs(nodes) do
    local page = status(name)
    if page.version ~= version or not page.servers["server-b1"] then
      return false
    end
  end
  return true
end, "every restarted node has the version in force and lists server-b1")
within(15, function() return ended("calls") end, "the calls have ended")
local calls = report("calls")
expect(calls.served == 400, "all calls are served: " .. calls.served)
expect(calls.doubled == 0, "no call ran twice")
