//===- Main.cpp - Command line of platform-standin ------------------------===//
//
// Reads the flags and serves until it is told to stop.
//
//===----------------------------------------------------------------------===//

#include "Platform.h"

#include <cxxopts.hpp>

using namespace figlift::standin;

int main(int ArgumentCount, char **Arguments) {
  cxxopts::Options Options("platform-standin");
  auto Add = Options.add_options();
  Add("listen", "",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
  Add("reads-per-second", "", cxxopts::value<double>()->default_value("0"));
  Add("writes-per-second", "", cxxopts::value<double>()->default_value("0"));
  Add("weights-per-second", "", cxxopts::value<double>()->default_value("0"));
  Add("weight-bytes", "",
      cxxopts::value<uint64_t>()->default_value("16000000000"));
  const auto Flags = Options.parse(ArgumentCount, Arguments);
  PlatformOptions Chosen;
  Chosen.Listen = Flags["listen"].as<std::string>();
  Chosen.ReadsPerSecond = Flags["reads-per-second"].as<double>();
  Chosen.WritesPerSecond = Flags["writes-per-second"].as<double>();
  Chosen.WeightsPerSecond = Flags["weights-per-second"].as<double>();
  Chosen.WeightBytes = Flags["weight-bytes"].as<uint64_t>();
  prepareProcess();
  Platform Running(Chosen);
  return Running.run();
}
