//===- Registry.cpp - Metrics of one process ------------------------------===//
//
// See Registry.h.
//
//===----------------------------------------------------------------------===//

#include "LibMetrics/Registry.h"

#include <cassert>
#include <cmath>
#include <cstdio>
#include <string_view>

namespace figlift::metrics {

namespace {

std::string escape(std::string_view Text, bool Quotes) {
  std::string Escaped;
  for (char Each : Text) {
    if (Each == '\\')
      Escaped += "\\\\";
    else if (Each == '\n')
      Escaped += "\\n";
    else if (Each == '"' && Quotes)
      Escaped += "\\\"";
    else
      Escaped += Each;
  }
  return Escaped;
}

/// `name="value",...` without the braces.
std::string printLabels(const Labels &Which) {
  std::string Text;
  for (const auto &[Name, Value] : Which) {
    if (!Text.empty())
      Text += ',';
    Text += Name + "=\"" + escape(Value, true) + "\"";
  }
  return Text;
}

std::string printNumber(double Value) {
  if (std::isnan(Value))
    return "NaN";
  if (std::isinf(Value))
    return Value > 0 ? "+Inf" : "-Inf";
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.15g", Value);
  return Text;
}

std::string printSample(const std::string &Name, const std::string &Inner,
                        double Value) {
  std::string Text = Name;
  if (!Inner.empty())
    Text += "{" + Inner + "}";
  return Text + " " + printNumber(Value) + "\n";
}

std::string printSummary(const std::string &Name, const std::string &Inner,
                         const Summary::Reading &Read) {
  std::string Text;
  for (size_t I = 0; I < ReportedQuantiles.size(); ++I) {
    std::string Quantile =
        "quantile=\"" + printNumber(ReportedQuantiles[I]) + "\"";
    Text += printSample(Name, Inner.empty() ? Quantile : Inner + "," + Quantile,
                        Read.Quantiles[I]);
  }
  Text += printSample(Name + "_sum", Inner, Read.Sum);
  Text += printSample(Name + "_count", Inner, static_cast<double>(Read.Count));
  return Text;
}

/// Prints one member of a family.
struct Printer {
  const std::string &Name;
  const std::string &Inner;

  template <typename Number>
  std::string operator()(const std::unique_ptr<Number> &Held) const {
    return printSample(Name, Inner, Held->value());
  }
  std::string operator()(const std::unique_ptr<Summary> &Held) const {
    return printSummary(Name, Inner, Held->read());
  }
  std::string operator()(const std::function<double()> &Read) const {
    return printSample(Name, Inner, Read());
  }
};

} // namespace

template <typename T>
T &Registry::find(const std::string &Name, const std::string &Help,
                  std::string_view Type, const Labels &Which) {
  std::lock_guard Lock(m_Mutex);
  auto [Place, IsNew] = m_Families.try_emplace(Name);
  Family &Owner = Place->second;
  if (IsNew) {
    Owner.Help = Help;
    Owner.Type = Type;
  }
  // A second type would replace the metric and leave a dangling reference.
  assert(Owner.Type == Type && "a metric name has one type");
  Metric &Member = Owner.Members[printLabels(Which)];
  auto *Held = std::get_if<std::unique_ptr<T>>(&Member);
  if (Held && *Held)
    return **Held;
  return *Member.template emplace<std::unique_ptr<T>>(std::make_unique<T>());
}

void Registry::setReader(const std::string &Name, const std::string &Help,
                         std::string_view Type, Reader Read,
                         const Labels &Which) {
  std::lock_guard Lock(m_Mutex);
  auto [Place, IsNew] = m_Families.try_emplace(Name);
  if (IsNew) {
    Place->second.Help = Help;
    Place->second.Type = Type;
  }
  Place->second.Members[printLabels(Which)] = std::move(Read);
}

Counter &Registry::counter(const std::string &Name, const std::string &Help,
                           const Labels &Which) {
  return find<Counter>(Name, Help, "counter", Which);
}

Gauge &Registry::gauge(const std::string &Name, const std::string &Help,
                       const Labels &Which) {
  return find<Gauge>(Name, Help, "gauge", Which);
}

Summary &Registry::summary(const std::string &Name, const std::string &Help,
                           const Labels &Which) {
  return find<Summary>(Name, Help, "summary", Which);
}

void Registry::readCounter(const std::string &Name, const std::string &Help,
                           Reader Read, const Labels &Which) {
  setReader(Name, Help, "counter", std::move(Read), Which);
}

void Registry::readGauge(const std::string &Name, const std::string &Help,
                         Reader Read, const Labels &Which) {
  setReader(Name, Help, "gauge", std::move(Read), Which);
}

std::string Registry::prometheusText() const {
  std::lock_guard Lock(m_Mutex);
  std::string Text;
  for (const auto &[Name, Owner] : m_Families) {
    Text += "# HELP " + Name + " " + escape(Owner.Help, false) + "\n";
    Text += "# TYPE " + Name + " " + Owner.Type + "\n";
    for (const auto &[Inner, Member] : Owner.Members)
      Text += std::visit(Printer{Name, Inner}, Member);
  }
  return Text;
}

} // namespace figlift::metrics
