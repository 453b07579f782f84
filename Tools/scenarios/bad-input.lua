-- Requests that make no sense get a numbered code, and other calls go on.
start_log()
start_node("a1", "a")
start_server("server-a1",
             {service = "price-catalogue", beside = "a1", work = "1ms"})
within(10, function() return status("a1").answered end, "a1 answers")
start_load("early", {to = {"a1"}, path = "/prices/x", rate = 50,
                     length = "200ms"})
within(10, function() return ended("early") end, "early calls have ended")
expect(report("early")["result 105"] == report("early").sent,
       "without a set calls are refused as not run")
local code, text = zinniactl("publish", "Data/Ashcombe/set")
expect(code == 0, text)
within(10, function()
  return status("a1").version > 0 and status("a1").servers["server-a1"]
end, "the set is in force")
start_load("astray", {to = {"a1"}, path = "/nowhere/x", rate = 100,
                      length = "1s"})
start_load("calls", {to = {"a1"}, path = "/prices/x", rate = 100,
                     length = "1s"})
within(10, function() return ended("astray") and ended("calls") end,
       "the calls have ended")
expect(report("astray")["result 100"] == 100, "unknown routes are refused")
expect(report("calls").served == 100, "other calls go on")
