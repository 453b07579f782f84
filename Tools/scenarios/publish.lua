-- A broken set is refused with every fault, a race has one winner, and a good
-- set comes into force on every node.
start_log()
local nodes = {"a1", "a2", "b1"}
for _, name in ipairs(nodes) do
  start_node(name, name:sub(1, 1))
end

local function all_at(version)
  return function()
    for _, name in ipairs(nodes) do
      if status(name).version ~= version then return false end
    end
    return true
  end
end

local code, text = zinniactl("publish", "Data/Broken")
expect(code == 1, "a broken set is refused")
expect(text:find("406 ObjectDanglingName", 1, true), "the fault is named")
expect(text:find("407 ObjectCycle", 1, true), "and every other one")

code, text = zinniactl("publish", "Data/Ashcombe/set")
expect(code == 0, "a good set is accepted: " .. text)
local version = tonumber(text:match("version (%d+)"))
within(7, all_at(version), "the set is in force on every node")

-- Both operators start from the same version; the second comes too late.
code, text = zinniactl("publish", "Data/Contadores/set", "--base",
                       tostring(version))
expect(code == 0, "the first of the race wins: " .. text)
local winner = tonumber(text:match("version (%d+)"))
code, text = zinniactl("publish", "Data/Ashcombe/set", "--base",
                       tostring(version))
expect(code == 1, "the second loses")
expect(text:find("500 PublishRaceLost", 1, true), "it is told why")
within(7, all_at(winner), "the winner is in force on every node")
never(1, function()
  for _, name in ipairs(nodes) do
    if status(name).version < winner then return true end
  end
  return false
end, "a node went back to an older version")
