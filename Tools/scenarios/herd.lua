-- All nodes of a data centre die at once and come back at once. They take the
-- version in force and serve again, and calls elsewhere go on.
start_log()
local herd = {"a1", "a2", "a3", "a4"}
for _, name in ipairs(herd) do start_node(name, "a") end
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
for _, name in ipairs(herd) do kill(name) end
for _, name in ipairs(herd) do
  within(5, function() return ended(name) end, name .. " is dead")
end
for _, name in ipairs(herd) do restart_node(name) end
within(10, function()
  for _, name in ipairs(herd) do
    local now = status(name)
    if now.version ~= version or not now.servers["server-b1"] then
      return false
    end
  end
  return true
end, "the herd is back with the version in force")
within(15, function() return ended("calls") end, "the calls have ended")
local calls = report("calls")
expect(calls.served == 400, "all are served: " .. calls.served)
expect(calls.doubled == 0, "none ran twice")
