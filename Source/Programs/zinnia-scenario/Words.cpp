#include "Programs/zinnia-scenario/Words.h"

#include <csignal>
#include <functional>
#include <thread>

#include <lua.hpp>

#include "Common/Error.h"

namespace Scenario {

using Common::Error;
using Common::ResultCode;

namespace {

constexpr Common::Millis PollInterval{20};

Mesh &meshOf(lua_State *Lua) {
  return *static_cast<Mesh *>(lua_touserdata(Lua, lua_upvalueindex(1)));
}

std::string stringField(lua_State *Lua, int Table, const char *Name,
                        const std::string &Default) {
  luaL_checktype(Lua, Table, LUA_TTABLE);
  lua_getfield(Lua, Table, Name);
  std::string Value =
      lua_isnil(Lua, -1) ? Default : luaL_tolstring(Lua, -1, nullptr);
  lua_settop(Lua, Table);
  return Value;
}

std::vector<std::string> stringListField(lua_State *Lua, int Table,
                                         const char *Name) {
  std::vector<std::string> Values;
  lua_getfield(Lua, Table, Name);
  if (lua_type(Lua, -1) != LUA_TTABLE)
    luaL_error(Lua, "%s must be a list", Name);
  const auto Length = static_cast<lua_Integer>(lua_rawlen(Lua, -1));
  for (lua_Integer Index = 1; Index <= Length; ++Index) {
    lua_rawgeti(Lua, -1, Index);
    Values.emplace_back(luaL_checkstring(Lua, -1));
    lua_pop(Lua, 1);
  }
  lua_pop(Lua, 1);
  return Values;
}

std::string stringArgument(lua_State *Lua, int Index) {
  return luaL_checkstring(Lua, Index);
}

// Lua raises errors with longjmp, which skips the destructors of C++ frames. An
// exception is therefore turned into a Lua error only after it has unwound
// them.
template <int (*Body)(lua_State *, Mesh &)> int wrapped(lua_State *Lua) {
  std::string Failure;
  try {
    return Body(Lua, meshOf(Lua));
  } catch (const Error &Exception) {
    luaL_where(Lua, 1);
    lua_pushstring(Lua, Exception.what());
    lua_concat(Lua, 2);
  }
  return lua_error(Lua);
}

int startLog(lua_State *Lua, Mesh &TestMesh) {
  TestMesh.startLog(luaL_optstring(Lua, 1, "1h"));
  return 0;
}

int startNode(lua_State *Lua, Mesh &TestMesh) {
  std::map<std::string, std::string> ExtraSettings;
  if (lua_istable(Lua, 3))
    for (lua_pushnil(Lua); lua_next(Lua, 3) != 0; lua_pop(Lua, 1))
      ExtraSettings[luaL_checkstring(Lua, -2)] = luaL_checkstring(Lua, -1);
  TestMesh.startNode(stringArgument(Lua, 1), stringArgument(Lua, 2),
                     ExtraSettings);
  return 0;
}

int restartNode(lua_State *Lua, Mesh &TestMesh) {
  TestMesh.restartNode(stringArgument(Lua, 1));
  return 0;
}

int startServer(lua_State *Lua, Mesh &TestMesh) {
  ServerOptions Options;
  Options.Service = stringField(Lua, 2, "service", "");
  Options.Beside = stringField(Lua, 2, "beside", "");
  Options.Slots = std::stoi(stringField(Lua, 2, "slots", "6"));
  Options.Work = stringField(Lua, 2, "work", "0us");
  TestMesh.startServer(stringArgument(Lua, 1), Options);
  return 0;
}

int startLoad(lua_State *Lua, Mesh &TestMesh) {
  LoadRequest Request;
  Request.Nodes = stringListField(Lua, 2, "to");
  Request.Path = stringField(Lua, 2, "path", "/");
  Request.Method = stringField(Lua, 2, "method", "GET");
  Request.Query = stringField(Lua, 2, "query", "");
  Request.Rate = std::stod(stringField(Lua, 2, "rate", "100"));
  Request.Length = stringField(Lua, 2, "length", "1s");
  Request.Limit = stringField(Lua, 2, "limit", "5s");
  TestMesh.startLoad(stringArgument(Lua, 1), Request);
  return 0;
}

template <int Signal> int sendSignal(lua_State *Lua, Mesh &TestMesh) {
  TestMesh.signal(stringArgument(Lua, 1), Signal);
  return 0;
}

int processHasExited(lua_State *Lua, Mesh &TestMesh) {
  lua_pushboolean(Lua, TestMesh.hasExited(stringArgument(Lua, 1)));
  return 1;
}

int exitCode(lua_State *Lua, Mesh &TestMesh) {
  lua_pushinteger(Lua, TestMesh.exitCode(stringArgument(Lua, 1)));
  return 1;
}

int zinniactl(lua_State *Lua, Mesh &TestMesh) {
  std::vector<std::string> Args;
  for (int Index = 1; Index <= lua_gettop(Lua); ++Index)
    Args.push_back(stringArgument(Lua, Index));
  const auto [Code, Output] = TestMesh.runZinniactl(Args);
  lua_pushinteger(Lua, Code);
  lua_pushstring(Lua, Output.c_str());
  return 2;
}

int burn(lua_State *Lua, Mesh &TestMesh) {
  luaL_checktype(Lua, 1, LUA_TTABLE);
  std::map<std::string, std::string> Services;
  for (lua_pushnil(Lua); lua_next(Lua, 1) != 0; lua_pop(Lua, 1))
    Services[luaL_checkstring(Lua, -2)] = luaL_checkstring(Lua, -1);
  const auto [Code, Output] = TestMesh.runBurn(Services);
  lua_pushinteger(Lua, Code);
  lua_pushstring(Lua, Output.c_str());
  return 2;
}

int logFaults(lua_State *Lua, Mesh &TestMesh) {
  TestMesh.setLogFaults(stringArgument(Lua, 1));
  return 0;
}

int serverFaults(lua_State *Lua, Mesh &TestMesh) {
  TestMesh.setServerFaults(stringArgument(Lua, 1), stringArgument(Lua, 2));
  return 0;
}

int status(lua_State *Lua, Mesh &TestMesh) {
  const NodeStatus Status = TestMesh.status(stringArgument(Lua, 1));
  lua_createtable(Lua, 0, 3);
  lua_pushboolean(Lua, Status.Answered);
  lua_setfield(Lua, -2, "answered");
  lua_pushinteger(Lua, Status.Version);
  lua_setfield(Lua, -2, "version");
  lua_createtable(Lua, 0, 8);
  for (const std::string &Server : Status.Servers) {
    lua_pushboolean(Lua, 1);
    lua_setfield(Lua, -2, Server.c_str());
  }
  lua_setfield(Lua, -2, "servers");
  return 1;
}

int report(lua_State *Lua, Mesh &TestMesh) {
  lua_createtable(Lua, 0, 16);
  for (const auto &[Key, Value] : TestMesh.report(stringArgument(Lua, 1))) {
    lua_pushnumber(Lua, std::strtod(Value.c_str(), nullptr));
    lua_setfield(Lua, -2, Key.c_str());
  }
  lua_pushinteger(Lua, TestMesh.countRepeatedCalls(stringArgument(Lua, 1)));
  lua_setfield(Lua, -2, "doubled");
  return 1;
}

int expect(lua_State *Lua, Mesh &TestMesh) {
  (void)TestMesh;
  if (!lua_toboolean(Lua, 1))
    throw Error(ResultCode::ExpectationFailed, stringArgument(Lua, 2));
  return 0;
}

// Calls the Lua function repeatedly until it returns true or the time is over.
bool pollUntilTrue(lua_State *Lua, double Seconds) {
  const auto Deadline =
      std::chrono::steady_clock::now() + std::chrono::duration<double>(Seconds);
  for (;;) {
    lua_pushvalue(Lua, 2);
    lua_call(Lua, 0, 1);
    const bool IsTrue = lua_toboolean(Lua, -1) != 0;
    lua_pop(Lua, 1);
    if (IsTrue || std::chrono::steady_clock::now() >= Deadline)
      return IsTrue;
    std::this_thread::sleep_for(PollInterval);
  }
}

int within(lua_State *Lua, Mesh &TestMesh) {
  (void)TestMesh;
  if (!pollUntilTrue(Lua, luaL_checknumber(Lua, 1)))
    throw Error(ResultCode::ExpectationFailed,
                "condition not met within " + stringArgument(Lua, 1) +
                    " s: " + stringArgument(Lua, 3));
  return 0;
}

// Fails if the Lua function returns true within the given time.
int never(lua_State *Lua, Mesh &TestMesh) {
  (void)TestMesh;
  if (pollUntilTrue(Lua, luaL_checknumber(Lua, 1)))
    throw Error(ResultCode::ExpectationFailed,
                "condition occurred: " + stringArgument(Lua, 3));
  return 0;
}

int say(lua_State *Lua, Mesh &TestMesh) {
  (void)TestMesh;
  std::printf("%s\n", stringArgument(Lua, 1).c_str());
  std::fflush(stdout);
  return 0;
}

struct ScriptCommand {
  const char *Name;
  lua_CFunction Function;
  const char *Help;
};

constexpr ScriptCommand Commands[] = {
    {"start_log", wrapped<startLog>, "start_log([RETENTION])"},
    {"start_node", wrapped<startNode>,
     "start_node(NAME, DATA-CENTRE [, {['section.key'] = VALUE}])"},
    {"restart_node", wrapped<restartNode>, "restart_node(NAME)"},
    {"start_server", wrapped<startServer>,
     "start_server(NAME, {service=, beside=, slots=, work=})"},
    {"start_load", wrapped<startLoad>,
     "start_load(NAME, {to={NODE,...}, path=, method=, query=, rate=, "
     "length=, limit=})"},
    {"kill", wrapped<sendSignal<SIGKILL>>, "kill(NAME)"},
    {"drain", wrapped<sendSignal<SIGTERM>>, "drain(NAME): ask it to stop"},
    {"freeze", wrapped<sendSignal<SIGSTOP>>, "freeze(NAME)"},
    {"thaw", wrapped<sendSignal<SIGCONT>>, "thaw(NAME)"},
    {"ended", wrapped<processHasExited>,
     "ended(NAME): whether the process has exited"},
    {"exit_code", wrapped<exitCode>, "exit_code(NAME)"},
    {"zinniactl", wrapped<zinniactl>,
     "zinniactl(ARGUMENT...): exit code and output"},
    {"burn", wrapped<burn>,
     "burn({OBJECTIVE = SERVICE}): exit code and output of zinnia-burn"},
    {"log_faults", wrapped<logFaults>,
     "log_faults('outage = yes'): see zinnia-standin-log"},
    {"server_faults", wrapped<serverFaults>,
     "server_faults(NAME, 'slow-factor = 10')"},
    {"status", wrapped<status>, "status(NODE): answered, version, servers"},
    {"report", wrapped<report>,
     "report(LOAD): the values of its report, and doubled"},
    {"expect", wrapped<expect>, "expect(CONDITION, TEXT)"},
    {"within", wrapped<within>, "within(SECONDS, FUNCTION, TEXT)"},
    {"never", wrapped<never>, "never(SECONDS, FUNCTION, TEXT)"},
    {"say", wrapped<say>, "say(TEXT)"},
};

// Reports an unknown command with the list of available ones, instead of Lua's
// "attempt to call a nil value".
int rejectUnknownCommand(lua_State *Lua) {
  std::string Available;
  for (const ScriptCommand &Entry : Commands)
    Available += (Available.empty() ? "" : ", ") + std::string(Entry.Name);
  return luaL_error(Lua, "unknown command '%s'; available commands are %s",
                    luaL_checkstring(Lua, 2), Available.c_str());
}

struct StateCloser {
  void operator()(lua_State *Lua) const { lua_close(Lua); }
};

} // namespace

void runScript(Mesh &TestMesh, const std::string &File) {
  const std::unique_ptr<lua_State, StateCloser> StateOwner(luaL_newstate());
  lua_State *Lua = StateOwner.get();
  luaL_requiref(Lua, "_G", luaopen_base, 1);
  luaL_requiref(Lua, "string", luaopen_string, 1);
  luaL_requiref(Lua, "table", luaopen_table, 1);
  luaL_requiref(Lua, "math", luaopen_math, 1);
  lua_settop(Lua, 0);
  for (const ScriptCommand &Entry : Commands) {
    lua_pushlightuserdata(Lua, &TestMesh);
    lua_pushcclosure(Lua, Entry.Function, 1);
    lua_setglobal(Lua, Entry.Name);
  }
  lua_pushglobaltable(Lua);
  lua_createtable(Lua, 0, 1);
  lua_pushcfunction(Lua, rejectUnknownCommand);
  lua_setfield(Lua, -2, "__index");
  lua_setmetatable(Lua, -2);
  lua_settop(Lua, 0);

  if (luaL_loadfile(Lua, File.c_str()) != LUA_OK ||
      lua_pcall(Lua, 0, 0, 0) != LUA_OK)
    throw Error(ResultCode::ScenarioFailed, lua_tostring(Lua, -1));
}

std::string commandList() {
  std::string Text;
  for (const ScriptCommand &Entry : Commands)
    Text += std::string("  ") + Entry.Help + "\n";
  return Text;
}

} // namespace Scenario
