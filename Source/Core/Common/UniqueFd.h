#pragma once

#include <utility>

namespace Common {

// Owns a file descriptor and closes it on destruction.
class UniqueFd {
public:
  UniqueFd() = default;
  explicit UniqueFd(int Fd) : Fd(Fd) {}
  ~UniqueFd() { reset(); }

  UniqueFd(UniqueFd &&Other) noexcept : Fd(std::exchange(Other.Fd, -1)) {}
  UniqueFd &operator=(UniqueFd &&Other) noexcept {
    if (this != &Other) {
      reset();
      Fd = std::exchange(Other.Fd, -1);
    }
    return *this;
  }

  int value() const { return Fd; }
  bool isOpen() const { return Fd >= 0; }
  void reset();

private:
  int Fd = -1;
};

} // namespace Common
