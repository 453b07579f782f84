-- A node is frozen while a set is published, and then thawed. It catches up
-- with the new version, and the other node keeps it.
start_log()
for _, name in ipairs {"a1", "a2"} do start_node(name, "a") end
local code, text = zinniactl("publish", "Data/Ashcombe/set")
expect(code == 0, text)
local first = tonumber(text:match("version (%d+)"))
within(7, function()
  return status("a1").version == first and status("a2").version == first
end, "the first set is in force")
freeze("a2")
code, text = zinniactl("publish", "Data/Contadores/set")
expect(code == 0, text)
local second = tonumber(text:match("version (%d+)"))
within(7, function() return status("a1").version == second end,
       "the second set is in force on the node that is not frozen")
thaw("a2")
within(7, function() return status("a2").version == second end,
       "the thawed node catches up")
expect(status("a1").version == second, "a1 still has the second version")
