-- Calls that a node cannot route are refused with their result code, while
-- other calls are served.
start_log()
start_node("a1", "a")
start_server("server-a1",
             {service = "price-catalogue", beside = "a1", work = "1ms"})
within(10, function() return status("a1").answered end, "a1 answers")
start_load("no-set", {to = {"a1"}, path = "/prices/x", rate = 50,
                     length = "200ms"})
within(10, function() return ended("no-set") end,
       "the calls before the first publish have ended")
expect(report("no-set")["result 105"] == report("no-set").sent,
       "calls are refused as not run while no set is in force")
local code, text = zinniactl("publish", "Data/Ashcombe/set")
expect(code == 0, text)
within(10, function()
  return status("a1").version > 0 and status("a1").servers["server-a1"]
end, "the set is in force")
start_load("no-route", {to = {"a1"}, path = "/nowhere/x", rate = 100,
                      length = "1s"})
start_load("calls", {to = {"a1"}, path = "/prices/x", rate = 100,
                     length = "1s"})
within(10, function() return ended("no-route") and ended("calls") end,
       "the calls have ended")
expect(report("no-route")["result 100"] == 100,
       "calls without a route are refused")
expect(report("calls").served == 100, "other calls are served")
