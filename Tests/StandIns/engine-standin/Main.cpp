//===- Main.cpp - Command line of engine-standin --------------------------===//
//
// Reads the flags and serves until it is told to stop.
//
//===----------------------------------------------------------------------===//

#include "Engine.h"

#include <cxxopts.hpp>

using namespace figlift::standin;

namespace {

template <typename Number>
void add(cxxopts::OptionAdder &Add, const char *Name, Number Default) {
  Add(Name, "", cxxopts::value<Number>()->default_value([&] {
    std::ostringstream Text;
    Text << Default;
    return Text.str();
  }()));
}

void addTime(cxxopts::OptionAdder &Add, const char *Name,
             std::chrono::microseconds Default) {
  Add(Name, "",
      cxxopts::value<std::string>()->default_value(
          std::to_string(Default.count()) + "us"));
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  EngineOptions Chosen;
  cxxopts::Options Options("engine-standin");
  auto Add = Options.add_options();
  add<std::string>(Add, "listen", "127.0.0.1:0");
  add<std::string>(Add, "role", "mixed");
  add<std::string>(Add, "models", "a@1");
  Add("platform", "", cxxopts::value<std::string>());
  add(Add, "prefill-rate", Chosen.PrefillRate);
  addTime(Add, "decode-step", Chosen.DecodeStep);
  addTime(Add, "decode-per-sequence", Chosen.DecodePerSequence);
  add(Add, "chunk-tokens", Chosen.ChunkTokens);
  add(Add, "max-sequences", Chosen.MaximumSequences);
  add(Add, "kv-tokens", Chosen.KvTokens);
  add(Add, "kv-bytes-per-token", Chosen.KvBytesPerToken);
  add(Add, "kv-transfer-rate", Chosen.KvTransferRate);
  addTime(Add, "load-lag", Chosen.LoadLag);
  addTime(Add, "cache-event-lag", Chosen.CacheEventLag);
  add(Add, "cache-event-gap", Chosen.CacheEventGap);
  addTime(Add, "order-duration", Chosen.OrderDuration);
  Add("honour-epoch", "", cxxopts::value<bool>()->default_value("false"));
  Add("refuse-busy", "", cxxopts::value<bool>()->default_value("true"));
  const auto Flags = Options.parse(ArgumentCount, Arguments);
  const auto Time = [&](const char *Name) {
    return parseDuration(Flags[Name].as<std::string>());
  };
  Chosen.Listen = Flags["listen"].as<std::string>();
  Chosen.Role = Flags["role"].as<std::string>();
  Chosen.Models = Flags["models"].as<std::string>();
  if (Flags.count("platform"))
    Chosen.Platform = Flags["platform"].as<std::string>();
  Chosen.PrefillRate = Flags["prefill-rate"].as<double>();
  Chosen.DecodeStep = Time("decode-step");
  Chosen.DecodePerSequence = Time("decode-per-sequence");
  Chosen.ChunkTokens = Flags["chunk-tokens"].as<uint64_t>();
  Chosen.MaximumSequences = Flags["max-sequences"].as<uint64_t>();
  Chosen.KvTokens = Flags["kv-tokens"].as<uint64_t>();
  Chosen.KvBytesPerToken = Flags["kv-bytes-per-token"].as<uint64_t>();
  Chosen.KvTransferRate = Flags["kv-transfer-rate"].as<double>();
  Chosen.LoadLag = Time("load-lag");
  Chosen.CacheEventLag = Time("cache-event-lag");
  Chosen.CacheEventGap = Flags["cache-event-gap"].as<uint64_t>();
  Chosen.OrderDuration = Time("order-duration");
  Chosen.HonourEpoch = Flags["honour-epoch"].as<bool>();
  Chosen.RefuseBusy = Flags["refuse-busy"].as<bool>();
  prepareProcess();
  Engine Running(Chosen);
  return Running.run();
}
