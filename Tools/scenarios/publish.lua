-- A set with faults is refused with all of them listed, a valid set comes into
-- force on every node, and only the first of two publishes from the same base
-- version succeeds.
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
expect(code == 1, "a set with faults is refused")
expect(text:find("406 ObjectDanglingName", 1, true),
       "the dangling name is reported")
expect(text:find("407 ObjectCycle", 1, true), "the cycle is reported")

code, text = zinniactl("publish", "Data/Ashcombe/set")
expect(code == 0, "a valid set is accepted: " .. text)
local version = tonumber(text:match("version (%d+)"))
within(7, all_at(version), "the set is in force on every node")

-- Both operators start from the same version; the second publishes too late.
code, text = zinniactl("publish", "Data/Contadores/set", "--base",
                       tostring(version))
expect(code == 0, "the first publish succeeds: " .. text)
local published = tonumber(text:match("version (%d+)"))
code, text = zinniactl("publish", "Data/Ashcombe/set", "--base",
                       tostring(version))
expect(code == 1, "the second publish is refused")
expect(text:find("500 PublishRaceLost", 1, true),
       "the result code names the reason")
within(7, all_at(published), "the published set is in force on every node")
never(1, function()
  for _, name in ipairs(nodes) do
    if status(name).version < published then return true end
  end
  return false
end, "a node went back to an older version")
