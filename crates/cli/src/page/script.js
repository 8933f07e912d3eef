"use strict";
const filter = document.getElementById("filter");
const boxes = [...document.querySelectorAll(".legend input")];
const rows = [...document.querySelectorAll("tbody tr")];
const marks = [...document.querySelectorAll("circle.event")];

// Row and mark of one event have the same index, because both are written in the order of events.
function update() {
  const text = filter.value.toLowerCase();
  const kinds = new Set(boxes.filter((box) => box.checked).map((box) => box.value));
  let shown = 0;
  rows.forEach((row, index) => {
    const visible = kinds.has(row.dataset.kind) && row.textContent.toLowerCase().includes(text);
    row.hidden = !visible;
    marks[index].toggleAttribute("hidden", !visible);
    shown += visible ? 1 : 0;
  });
  document.getElementById("shown").textContent = `${shown} of ${rows.length} events`;
}

filter.addEventListener("input", update);
boxes.forEach((box) => box.addEventListener("change", update));
update();
