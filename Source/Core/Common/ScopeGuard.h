#pragma once

#include <utility>

namespace Common {

// Runs a function at the end of the scope unless dismiss was called.
template <class Function> class [[nodiscard]] ScopeGuard {
public:
  explicit ScopeGuard(Function OnExit) : OnExit(std::move(OnExit)) {}
  ~ScopeGuard() {
    if (Armed)
      OnExit();
  }

  ScopeGuard(const ScopeGuard &) = delete;
  ScopeGuard &operator=(const ScopeGuard &) = delete;

  void dismiss() { Armed = false; }

private:
  Function OnExit;
  bool Armed = true;
};

} // namespace Common
