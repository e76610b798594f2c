// Least squares and Markdown.

#include "azurepass/testing/system/measure_table.h"

#include <cstdio>
#include <numeric>

namespace azurepass::testing {
namespace {

double Mean(const std::vector<double>& values) {
  return std::accumulate(values.begin(), values.end(), 0.0) /
         static_cast<double>(values.size());
}

std::vector<double> Column(const MeasureTable& table, size_t index) {
  std::vector<double> values;
  values.reserve(table.rows.size());
  for (const auto& row : table.rows) values.push_back(row[index]);
  return values;
}

void PrintRow(const std::vector<double>& row) {
  for (const double value : row) std::printf("| %.4g ", value);
  std::printf("|\n");
}

}  // namespace

Line FitLine(const std::vector<double>& x, const std::vector<double>& y) {
  if (x.size() < 2) return {};
  const double mean_x = Mean(x);
  const double mean_y = Mean(y);
  double xx = 0;
  double xy = 0;
  double yy = 0;
  for (size_t i = 0; i < x.size(); ++i) {
    xx += (x[i] - mean_x) * (x[i] - mean_x);
    xy += (x[i] - mean_x) * (y[i] - mean_y);
    yy += (y[i] - mean_y) * (y[i] - mean_y);
  }
  if (xx == 0) return {};
  Line line;
  line.slope = xy / xx;
  line.at_zero = mean_y - line.slope * mean_x;
  line.explained = yy == 0 ? 1 : xy * xy / (xx * yy);
  return line;
}

void PrintTable(const MeasureTable& table) {
  std::printf("\n### %s\n\n", table.title.c_str());
  for (const auto& name : table.columns) std::printf("| %s ", name.c_str());
  std::printf("|\n");
  for (size_t i = 0; i < table.columns.size(); ++i) std::printf("|---");
  std::printf("|\n");
  for (const auto& row : table.rows) PrintRow(row);
  std::printf("\n");
  const std::vector<double> x = Column(table, 0);
  for (size_t i = 1; i < table.columns.size(); ++i) {
    const Line line = FitLine(x, Column(table, i));
    std::printf("- %s = %.4g + %.4g x (R2 %.2f)\n", table.columns[i].c_str(),
                line.at_zero, line.slope, line.explained);
  }
  std::fflush(stdout);
}

}  // namespace azurepass::testing
