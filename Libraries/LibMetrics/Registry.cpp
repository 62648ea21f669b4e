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
  for (char Character : Text) {
    if (Character == '\\')
      Escaped += "\\\\";
    else if (Character == '\n')
      Escaped += "\\n";
    else if (Character == '"' && Quotes)
      Escaped += "\\\"";
    else
      Escaped += Character;
  }
  return Escaped;
}

/// `name="value",...`, without braces.
std::string formatLabels(const Labels &MetricLabels) {
  std::string Text;
  for (const auto &[Name, Value] : MetricLabels) {
    if (!Text.empty())
      Text += ',';
    Text += Name + "=\"" + escape(Value, true) + "\"";
  }
  return Text;
}

std::string formatNumber(double Value) {
  if (std::isnan(Value))
    return "NaN";
  if (std::isinf(Value))
    return Value > 0 ? "+Inf" : "-Inf";
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.15g", Value);
  return Text;
}

std::string formatSample(const std::string &Name, const std::string &LabelText,
                         double Value) {
  std::string Text = Name;
  if (!LabelText.empty())
    Text += "{" + LabelText + "}";
  return Text + " " + formatNumber(Value) + "\n";
}

std::string formatSummary(const std::string &Name, const std::string &LabelText,
                          const Summary::Snapshot &Read) {
  std::string Text;
  for (size_t I = 0; I < ReportedQuantiles.size(); ++I) {
    std::string Quantile =
        "quantile=\"" + formatNumber(ReportedQuantiles[I]) + "\"";
    Text += formatSample(
        Name, LabelText.empty() ? Quantile : LabelText + "," + Quantile,
        Read.Quantiles[I]);
  }
  Text += formatSample(Name + "_sum", LabelText, Read.Sum);
  Text +=
      formatSample(Name + "_count", LabelText, static_cast<double>(Read.Count));
  return Text;
}

/// Formats one member of a family.
struct Formatter {
  const std::string &Name;
  const std::string &LabelText;

  template <typename Number>
  std::string operator()(const std::unique_ptr<Number> &Value) const {
    return formatSample(Name, LabelText, Value->value());
  }
  std::string operator()(const std::unique_ptr<Summary> &Value) const {
    return formatSummary(Name, LabelText, Value->read());
  }
  std::string operator()(const std::function<double()> &Read) const {
    return formatSample(Name, LabelText, Read());
  }
};

} // namespace

template <typename T>
T &Registry::find(const std::string &Name, const std::string &Help,
                  std::string_view Type, const Labels &MetricLabels) {
  std::lock_guard Lock(m_Mutex);
  auto [Position, IsNew] = m_Families.try_emplace(Name);
  Family &Entry = Position->second;
  if (IsNew) {
    Entry.Help = Help;
    Entry.Type = Type;
  }
  // Another type would replace the metric and leave dangling references.
  assert(Entry.Type == Type && "a metric name has one type");
  Metric &Member = Entry.Members[formatLabels(MetricLabels)];
  auto *Value = std::get_if<std::unique_ptr<T>>(&Member);
  if (Value && *Value)
    return **Value;
  return *Member.template emplace<std::unique_ptr<T>>(std::make_unique<T>());
}

void Registry::setReader(const std::string &Name, const std::string &Help,
                         std::string_view Type, Reader Read,
                         const Labels &MetricLabels) {
  std::lock_guard Lock(m_Mutex);
  auto [Position, IsNew] = m_Families.try_emplace(Name);
  if (IsNew) {
    Position->second.Help = Help;
    Position->second.Type = Type;
  }
  Position->second.Members[formatLabels(MetricLabels)] = std::move(Read);
}

Counter &Registry::counter(const std::string &Name, const std::string &Help,
                           const Labels &MetricLabels) {
  return find<Counter>(Name, Help, "counter", MetricLabels);
}

Gauge &Registry::gauge(const std::string &Name, const std::string &Help,
                       const Labels &MetricLabels) {
  return find<Gauge>(Name, Help, "gauge", MetricLabels);
}

Summary &Registry::summary(const std::string &Name, const std::string &Help,
                           const Labels &MetricLabels) {
  return find<Summary>(Name, Help, "summary", MetricLabels);
}

void Registry::registerCounter(const std::string &Name, const std::string &Help,
                               Reader Read, const Labels &MetricLabels) {
  setReader(Name, Help, "counter", std::move(Read), MetricLabels);
}

void Registry::registerGauge(const std::string &Name, const std::string &Help,
                             Reader Read, const Labels &MetricLabels) {
  setReader(Name, Help, "gauge", std::move(Read), MetricLabels);
}

std::string Registry::prometheusText() const {
  std::lock_guard Lock(m_Mutex);
  std::string Text;
  for (const auto &[Name, Entry] : m_Families) {
    Text += "# HELP " + Name + " " + escape(Entry.Help, false) + "\n";
    Text += "# TYPE " + Name + " " + Entry.Type + "\n";
    for (const auto &[LabelText, Member] : Entry.Members)
      Text += std::visit(Formatter{Name, LabelText}, Member);
  }
  return Text;
}

} // namespace figlift::metrics
