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

std::string field(lua_State *Lua, int Table, const char *Name,
                  const std::string &Default) {
  luaL_checktype(Lua, Table, LUA_TTABLE);
  lua_getfield(Lua, Table, Name);
  std::string Value =
      lua_isnil(Lua, -1) ? Default : luaL_tolstring(Lua, -1, nullptr);
  lua_settop(Lua, Table);
  return Value;
}

std::vector<std::string> textList(lua_State *Lua, int Table, const char *Name) {
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

std::string text(lua_State *Lua, int Index) {
  return luaL_checkstring(Lua, Index);
}

// Lua's errors jump over C++ frames, so a thrown Error is turned into one only
// after the frames it passed are gone.
template <int (*Body)(lua_State *, Mesh &)> int guarded(lua_State *Lua) {
  std::string Failure;
  try {
    return Body(Lua, meshOf(Lua));
  } catch (const Error &Thrown) {
    luaL_where(Lua, 1);
    lua_pushstring(Lua, Thrown.what());
    lua_concat(Lua, 2);
  }
  return lua_error(Lua);
}

int startLog(lua_State *Lua, Mesh &Running) {
  Running.startLog(luaL_optstring(Lua, 1, "1h"));
  return 0;
}

int startNode(lua_State *Lua, Mesh &Running) {
  std::map<std::string, std::string> Extra;
  if (lua_istable(Lua, 3))
    for (lua_pushnil(Lua); lua_next(Lua, 3) != 0; lua_pop(Lua, 1))
      Extra[luaL_checkstring(Lua, -2)] = luaL_checkstring(Lua, -1);
  Running.startNode(text(Lua, 1), text(Lua, 2), Extra);
  return 0;
}

int restartNode(lua_State *Lua, Mesh &Running) {
  Running.restartNode(text(Lua, 1));
  return 0;
}

int startServer(lua_State *Lua, Mesh &Running) {
  ServerOptions Options;
  Options.Service = field(Lua, 2, "service", "");
  Options.Beside = field(Lua, 2, "beside", "");
  Options.Slots = std::stoi(field(Lua, 2, "slots", "6"));
  Options.Work = field(Lua, 2, "work", "0us");
  Running.startServer(text(Lua, 1), Options);
  return 0;
}

int startLoad(lua_State *Lua, Mesh &Running) {
  LoadRequest Asked;
  Asked.Nodes = textList(Lua, 2, "to");
  Asked.Path = field(Lua, 2, "path", "/");
  Asked.Method = field(Lua, 2, "method", "GET");
  Asked.Query = field(Lua, 2, "query", "");
  Asked.Rate = std::stod(field(Lua, 2, "rate", "100"));
  Asked.Length = field(Lua, 2, "length", "1s");
  Asked.Limit = field(Lua, 2, "limit", "5s");
  Running.startLoad(text(Lua, 1), Asked);
  return 0;
}

template <int Number> int sendSignal(lua_State *Lua, Mesh &Running) {
  Running.signal(text(Lua, 1), Number);
  return 0;
}

int hasEnded(lua_State *Lua, Mesh &Running) {
  lua_pushboolean(Lua, Running.hasEnded(text(Lua, 1)));
  return 1;
}

int exitCode(lua_State *Lua, Mesh &Running) {
  lua_pushinteger(Lua, Running.exitCode(text(Lua, 1)));
  return 1;
}

int control(lua_State *Lua, Mesh &Running) {
  std::vector<std::string> Words;
  for (int Index = 1; Index <= lua_gettop(Lua); ++Index)
    Words.push_back(text(Lua, Index));
  const auto [Code, Output] = Running.control(Words);
  lua_pushinteger(Lua, Code);
  lua_pushstring(Lua, Output.c_str());
  return 2;
}

int burn(lua_State *Lua, Mesh &Running) {
  luaL_checktype(Lua, 1, LUA_TTABLE);
  std::map<std::string, std::string> Services;
  for (lua_pushnil(Lua); lua_next(Lua, 1) != 0; lua_pop(Lua, 1))
    Services[luaL_checkstring(Lua, -2)] = luaL_checkstring(Lua, -1);
  const auto [Code, Output] = Running.burn(Services);
  lua_pushinteger(Lua, Code);
  lua_pushstring(Lua, Output.c_str());
  return 2;
}

int logFaults(lua_State *Lua, Mesh &Running) {
  Running.setLogFaults(text(Lua, 1));
  return 0;
}

int serverFaults(lua_State *Lua, Mesh &Running) {
  Running.setServerFaults(text(Lua, 1), text(Lua, 2));
  return 0;
}

int status(lua_State *Lua, Mesh &Running) {
  const NodeStatus Status = Running.status(text(Lua, 1));
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

int report(lua_State *Lua, Mesh &Running) {
  lua_createtable(Lua, 0, 16);
  for (const auto &[Key, Value] : Running.report(text(Lua, 1))) {
    lua_pushnumber(Lua, std::strtod(Value.c_str(), nullptr));
    lua_setfield(Lua, -2, Key.c_str());
  }
  lua_pushinteger(Lua, Running.countDoubled(text(Lua, 1)));
  lua_setfield(Lua, -2, "doubled");
  return 1;
}

int expect(lua_State *Lua, Mesh &Running) {
  (void)Running;
  if (!lua_toboolean(Lua, 1))
    throw Error(ResultCode::ExpectationFailed, text(Lua, 2));
  return 0;
}

// Calls the function until it gives true, or until the seconds are over.
bool becomesTrue(lua_State *Lua, double Seconds) {
  const auto End =
      std::chrono::steady_clock::now() + std::chrono::duration<double>(Seconds);
  for (;;) {
    lua_pushvalue(Lua, 2);
    lua_call(Lua, 0, 1);
    const bool Holds = lua_toboolean(Lua, -1) != 0;
    lua_pop(Lua, 1);
    if (Holds || std::chrono::steady_clock::now() >= End)
      return Holds;
    std::this_thread::sleep_for(PollInterval);
  }
}

int within(lua_State *Lua, Mesh &Running) {
  (void)Running;
  if (!becomesTrue(Lua, luaL_checknumber(Lua, 1)))
    throw Error(ResultCode::ExpectationFailed,
                "not within " + text(Lua, 1) + " s: " + text(Lua, 3));
  return 0;
}

// The function must not give true for the seconds.
int never(lua_State *Lua, Mesh &Running) {
  (void)Running;
  if (becomesTrue(Lua, luaL_checknumber(Lua, 1)))
    throw Error(ResultCode::ExpectationFailed, "it happened: " + text(Lua, 3));
  return 0;
}

int say(lua_State *Lua, Mesh &Running) {
  (void)Running;
  std::printf("%s\n", text(Lua, 1).c_str());
  std::fflush(stdout);
  return 0;
}

struct Word {
  const char *Name;
  lua_CFunction Function;
  const char *Meaning;
};

constexpr Word Words[] = {
    {"start_log", guarded<startLog>, "start_log([RETENTION])"},
    {"start_node", guarded<startNode>,
     "start_node(NAME, DATA-CENTRE [, {['section.key'] = VALUE}])"},
    {"restart_node", guarded<restartNode>, "restart_node(NAME)"},
    {"start_server", guarded<startServer>,
     "start_server(NAME, {service=, beside=, slots=, work=})"},
    {"start_load", guarded<startLoad>,
     "start_load(NAME, {to={NODE,...}, path=, method=, query=, rate=, "
     "length=, limit=})"},
    {"kill", guarded<sendSignal<SIGKILL>>, "kill(NAME)"},
    {"drain", guarded<sendSignal<SIGTERM>>, "drain(NAME): asks it to stop"},
    {"freeze", guarded<sendSignal<SIGSTOP>>, "freeze(NAME)"},
    {"thaw", guarded<sendSignal<SIGCONT>>, "thaw(NAME)"},
    {"ended", guarded<hasEnded>, "ended(NAME): whether the process ended"},
    {"exit_code", guarded<exitCode>, "exit_code(NAME)"},
    {"zinniactl", guarded<control>, "zinniactl(WORD...): exit code and output"},
    {"burn", guarded<burn>,
     "burn({OBJECTIVE = SERVICE}): exit code and output of zinnia-burn"},
    {"log_faults", guarded<logFaults>,
     "log_faults('outage = yes'): see zinnia-standin-log"},
    {"server_faults", guarded<serverFaults>,
     "server_faults(NAME, 'slow-factor = 10')"},
    {"status", guarded<status>, "status(NODE): answered, version, servers"},
    {"report", guarded<report>, "report(LOAD): its figures, and doubled"},
    {"expect", guarded<expect>, "expect(CONDITION, TEXT)"},
    {"within", guarded<within>, "within(SECONDS, FUNCTION, TEXT)"},
    {"never", guarded<never>, "never(SECONDS, FUNCTION, TEXT)"},
    {"say", guarded<say>, "say(TEXT)"},
};

// An unknown word names the known ones instead of "a nil value".
int refuseUnknown(lua_State *Lua) {
  std::string Allowed;
  for (const Word &Each : Words)
    Allowed += (Allowed.empty() ? "" : ", ") + std::string(Each.Name);
  return luaL_error(Lua, "unknown word '%s'; allowed are %s",
                    luaL_checkstring(Lua, 2), Allowed.c_str());
}

struct StateCloser {
  void operator()(lua_State *Lua) const { lua_close(Lua); }
};

} // namespace

void runScript(Mesh &Running, const std::string &File) {
  const std::unique_ptr<lua_State, StateCloser> Holder(luaL_newstate());
  lua_State *Lua = Holder.get();
  luaL_requiref(Lua, "_G", luaopen_base, 1);
  luaL_requiref(Lua, "string", luaopen_string, 1);
  luaL_requiref(Lua, "table", luaopen_table, 1);
  luaL_requiref(Lua, "math", luaopen_math, 1);
  lua_settop(Lua, 0);
  for (const Word &Each : Words) {
    lua_pushlightuserdata(Lua, &Running);
    lua_pushcclosure(Lua, Each.Function, 1);
    lua_setglobal(Lua, Each.Name);
  }
  lua_pushglobaltable(Lua);
  lua_createtable(Lua, 0, 1);
  lua_pushcfunction(Lua, refuseUnknown);
  lua_setfield(Lua, -2, "__index");
  lua_setmetatable(Lua, -2);
  lua_settop(Lua, 0);

  if (luaL_loadfile(Lua, File.c_str()) != LUA_OK ||
      lua_pcall(Lua, 0, 0, 0) != LUA_OK)
    throw Error(ResultCode::ScenarioFailed, lua_tostring(Lua, -1));
}

std::string wordList() {
  std::string Text;
  for (const Word &Each : Words)
    Text += std::string("  ") + Each.Meaning + "\n";
  return Text;
}

} // namespace Scenario
