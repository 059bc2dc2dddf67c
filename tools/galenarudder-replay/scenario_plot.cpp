// Plot of the figures of each second as SVG.
#include "scenario_report.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace galenarudder::replay {

namespace {

constexpr double panel_width = 760;
constexpr double panel_height = 300;
constexpr double margin_left = 60;
constexpr double margin_right = 150;
constexpr double margin_top = 30;
constexpr double margin_bottom = 40;
constexpr double plot_width = panel_width - margin_left - margin_right;
constexpr double plot_height = panel_height - margin_top - margin_bottom;
constexpr int max_ticks = 5;

/// In the order of figure; distinguishable with color vision deficiencies
/// (palette of Okabe and Ito).
constexpr std::array<const char*, figure_count> colors = {
    "#000000", "#009e73", "#e69f00", "#56b4e9",
    "#d55e00", "#0072b2", "#cc79a7"};

std::string escape(const std::string& text)
{
    std::string escaped;
    for (const char character : text) {
        switch (character) {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        default:
            escaped += character;
        }
    }
    return escaped;
}

/// Returns 1, 2 or 5 times a power of ten, so that at most max_ticks steps
/// reach \p largest.
double tick_step(double largest)
{
    const double least = std::max(largest, 1.0) / max_ticks;
    const double power = std::pow(10, std::floor(std::log10(least)));
    for (const double factor : {1.0, 2.0, 5.0}) {
        if (factor * power >= least)
            return factor * power;
    }
    return 10 * power;
}

/// The scales that all panels share.
struct scales
{
    double seconds = 1;
    double calls = 1;

    double x(double second) const
    {
        return margin_left + plot_width * second / seconds;
    }
    double y(double count) const
    {
        return margin_top + plot_height * (1 - count / calls);
    }
};

scales scales_of(const std::vector<const played_scenario*>& shown)
{
    scales result;
    for (const played_scenario* panel : shown) {
        const auto& rows = panel->summary.per_second;
        result.seconds =
            std::max(result.seconds, static_cast<double>(rows.size()));
        for (const figures_summary& row : rows) {
            for (const figure_summary& cell : row)
                result.calls = std::max(result.calls, cell.mean + cell.spread);
        }
    }
    return result;
}

void add_label(std::ostream& svg,
               double x,
               double y,
               const std::string& anchor,
               const std::string& text)
{
    svg << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor
        << "\">" << escape(text) << "</text>\n";
}

void add_axes(std::ostream& svg, const scales& scale)
{
    const double calls_step = tick_step(scale.calls);
    for (int tick = 0; tick * calls_step <= scale.calls; ++tick) {
        const double y = scale.y(tick * calls_step);
        svg << "<path d=\"M" << margin_left << ' ' << y << 'h' << plot_width
            << "\" stroke=\"#ddd\"/>\n";
        std::ostringstream count;
        count << tick * calls_step;
        add_label(svg, margin_left - 6, y + 4, "end", count.str());
    }
    const double seconds_step = std::max(1.0, tick_step(scale.seconds));
    for (int tick = 0; tick * seconds_step <= scale.seconds; ++tick) {
        std::ostringstream second;
        second << tick * seconds_step << " s";
        add_label(svg, scale.x(tick * seconds_step),
                  panel_height - margin_bottom + 18, "middle", second.str());
    }
}

/// Adds the line of one figure and its band. A point stands in the middle of
/// its second.
void add_figure(std::ostream& svg,
                const std::vector<figures_summary>& rows,
                std::size_t index,
                const scales& scale)
{
    std::ostringstream line;
    std::ostringstream upper;
    std::string lower;
    for (std::size_t second = 0; second < rows.size(); ++second) {
        const figure_summary& cell = rows[second].at(index);
        const double x = scale.x(static_cast<double>(second) + 0.5);
        line << x << ',' << scale.y(cell.mean) << ' ';
        upper << x << ',' << scale.y(cell.mean + cell.spread) << ' ';
        std::ostringstream point;
        point << x << ',' << scale.y(std::max(0.0, cell.mean - cell.spread))
              << ' ';
        lower.insert(0, point.str());
    }
    svg << "<polygon points=\"" << upper.str() << lower << "\" fill=\""
        << colors.at(index) << "\" fill-opacity=\"0.12\"/>\n"
        << "<polyline points=\"" << line.str() << "\" fill=\"none\" stroke=\""
        << colors.at(index) << "\" stroke-width=\"1.5\"/>\n";
    const double y = margin_top + 18 * static_cast<double>(index) + 8;
    svg << "<path d=\"M" << panel_width - margin_right + 12 << ' ' << y
        << "h18\" stroke=\"" << colors.at(index) << "\" stroke-width=\"3\"/>\n";
    add_label(svg, panel_width - margin_right + 36, y + 4, "start",
              std::string(figure_names.at(index)));
}

} // namespace

std::string to_svg(const scenario_results& results)
{
    std::vector<const played_scenario*> shown = {&results.base};
    if (results.changed)
        shown.push_back(&*results.changed);
    const scales scale = scales_of(shown);
    const double height = panel_height * static_cast<double>(shown.size());
    std::ostringstream svg;
    svg << std::fixed << std::setprecision(1)
        << "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 "
        << panel_width << ' ' << height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"#fff\"/>\n";
    for (std::size_t panel = 0; panel < shown.size(); ++panel) {
        svg << "<g transform=\"translate(0 "
            << panel_height * static_cast<double>(panel) << ")\">\n";
        add_label(svg, margin_left, margin_top - 10, "start",
                  shown[panel]->played->name + ": calls per second, mean of " +
                      std::to_string(shown[panel]->seeds.size()) +
                      " seeds with standard deviation");
        add_axes(svg, scale);
        for (std::size_t index = 0; index < figure_count; ++index)
            add_figure(svg, shown[panel]->summary.per_second, index, scale);
        svg << "</g>\n";
    }
    svg << "</svg>\n";
    return svg.str();
}

} // namespace galenarudder::replay
