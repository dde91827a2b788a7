"""Tests of the HTML burn report."""

import re
import unittest
import xml.etree.ElementTree as ET
from html.parser import HTMLParser

from acaciaspoke.report.html import burn_page, burn_plot, trend_plot
from test.report.sample import report, windows

VOID_ELEMENTS = {"meta"}


class _Page(HTMLParser):
    """Collects the elements and checks that they are properly nested."""

    def __init__(self, text):
        super().__init__()
        self.elements, self.attributes, self.open_elements = [], [], []
        self.feed(text)
        self.close()

    def handle_starttag(self, tag, attrs):
        self.elements.append(tag)
        self.attributes += attrs
        if tag not in VOID_ELEMENTS:
            self.open_elements.append(tag)

    def handle_endtag(self, tag):
        if not self.open_elements or self.open_elements.pop() != tag:
            raise AssertionError(f"</{tag}> closes nothing")


class BurnPageTest(unittest.TestCase):

    def test_is_well_formed_and_self_contained(self):
        """Guards against broken nesting and external requests."""
        trend = [(9, 10), (0, 0), (10, 10), (7, 10)]
        text = burn_page(
            report(
                windows((99, 95, 0, 100), 100, trend=trend),
                windows((0,) * 4, 0, service="ledger"),
                missing=[(9, "no answer")],
            )
        )
        page = _Page(text)
        self.assertEqual(page.open_elements, [])
        self.assertEqual(page.elements.count("svg"), 3)
        self.assertNotIn("script", page.elements)
        names = {name for name, _ in page.attributes}
        self.assertFalse(names & {"src", "href", "style", "onload"})
        self.assertNotIn("url(", text)
        self.assertIn("host-9", text)
        start = text.index("<svg")
        ET.fromstring(text[start : text.index("</svg>") + 6])

    def test_plots_stay_within_the_view_box(self):
        """Guards against lines that a browser would clip."""
        made = report(
            windows((0, 100, 50, 100), 100, trend=[(0, 9), (9, 9)] * 36)
        )
        for plot in (trend_plot, burn_plot):
            root = ET.fromstring(plot(made.services[0]))
            _, _, width, height = map(float, root.get("viewBox").split())
            for path in root.iter("path"):
                points = re.findall(r"(-?[\d.]+) (-?[\d.]+)", path.get("d"))
                for x, y in points:
                    self.assertTrue(0 <= float(x) <= width)
                    self.assertTrue(0 <= float(y) <= height)
            for bar in root.iter("rect"):
                right = float(bar.get("x")) + float(bar.get("width"))
                self.assertLessEqual(right, width)

    def test_escapes_names(self):
        """Guards against markup in names that operators choose."""
        markup = '"><script>alert(1)</script>'
        text = burn_page(
            report(
                windows((1,) * 4, 1, service=markup, trend=[(1, 1)]),
                missing=[(1, markup)],
            )
        )
        self.assertNotIn("<script", text)
        self.assertEqual(_Page(text).open_elements, [])

    def test_no_requests(self):
        """Guards against a failure on an empty report."""
        self.assertIn("No requests were recorded", burn_page(report()))
