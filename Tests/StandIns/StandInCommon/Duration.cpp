//===- Duration.cpp - Times in flags and JSON -----------------------------===//
//
// Number and unit; milliseconds when there is no unit.
//
//===----------------------------------------------------------------------===//

#include "StandInCommon/Duration.h"

#include <stdexcept>

namespace figlift::standin {

std::chrono::microseconds parseDuration(const std::string &Text) {
  size_t Digits = 0;
  const double Number = std::stod(Text, &Digits);
  const std::string Unit = Text.substr(Digits);
  double Factor = 0;
  if (Unit == "us")
    Factor = 1;
  else if (Unit.empty() || Unit == "ms")
    Factor = 1e3;
  else if (Unit == "s")
    Factor = 1e6;
  else if (Unit == "m")
    Factor = 60e6;
  else
    throw std::invalid_argument("no time unit: " + Text);
  return std::chrono::microseconds(static_cast<int64_t>(Number * Factor));
}

std::chrono::microseconds durationOr(const Json &Object, const char *Name,
                                     std::chrono::microseconds Default) {
  const auto Found = Object.find(Name);
  if (Found == Object.end())
    return Default;
  if (Found->is_number())
    return std::chrono::microseconds(
        static_cast<int64_t>(Found->get<double>() * 1e3));
  return parseDuration(Found->get<std::string>());
}

} // namespace figlift::standin
